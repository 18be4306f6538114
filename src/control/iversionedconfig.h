#pragma once

#include "control/types/documentread.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace clementinesill::schema {
class ChangeResponse;
class DocumentChange;
} // namespace clementinesill::schema

namespace clementinesill::control {

// The operators' orders where the configuration is replaced as a whole by version. Used on the control thread only. Every
// order may be sent again: it changes nothing then and is accepted again.
class IVersionedConfig {
public:
    virtual ~IVersionedConfig() = default;

    // Accepted once a majority holds the document, or at once if its version is not higher than the one in force.
    virtual boost::asio::awaitable<void> putDocument(const schema::DocumentChange& document, schema::ChangeResponse& response) = 0;

    // The newest document that was accepted before the call; confirmed by a majority after the call was made.
    virtual boost::asio::awaitable<DocumentRead> readDocument() = 0;

    // Takes a zone out or back in; a zone that is not known yet is taken on.
    virtual boost::asio::awaitable<void> orderZone(const std::string& zone, bool out, schema::ChangeResponse& response) = 0;
};

} // namespace clementinesill::control
