#pragma once

#include "control/types/documentread.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace clementinesill::schema {
class ChangeResponse;
class DocumentChange;
} // namespace clementinesill::schema

namespace clementinesill::control {

// Operations on a configuration that operators replace as a whole under increasing versions. Used on the control thread only. All
// operations are idempotent: a retried request is accepted again and has no further effect.
class IVersionedConfig {
public:
    virtual ~IVersionedConfig() = default;

    // Completes when the document is committed by a majority, or immediately if its version is not higher than the current
    // one.
    virtual boost::asio::awaitable<void> putDocument(const schema::DocumentChange& document, schema::ChangeResponse& response) = 0;

    // Linearizable read: commits a read barrier, then returns the current document, which contains every change that was
    // accepted before the call.
    virtual boost::asio::awaitable<DocumentRead> readDocument() = 0;

    // Takes a zone out of service or back into service; creates the zone if it does not exist.
    virtual boost::asio::awaitable<void> setZoneOut(const std::string& zone, bool out, schema::ChangeResponse& response) = 0;
};

} // namespace clementinesill::control
