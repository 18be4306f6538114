#pragma once

#include "log.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace clementinesill::control {

// Configuration document that operators replace as a whole under a version number of their choice, which may be 0. Only a document
// with a higher version replaces the current one; a document with an equal or lower version has no effect.
class ConfigDocument {
public:
    bool supersedes(std::uint64_t version) const { return !m_version || version > *m_version; }

    // Replaces the document. serviceIds maps the service indexes that the route targets of the change contain to service
    // ids. Returns the endpoints of the routes that were added, changed or removed.
    std::set<std::string> replace(const schema::DocumentChange& change, std::span<const std::uint32_t> serviceIds);

    // Empty before the first document.
    std::optional<std::uint64_t> version() const { return m_version; }
    // The document exactly as the operators sent it.
    const std::string& text() const { return m_text; }
    // Keyed by endpoint.
    const std::map<std::string, schema::Route>& routes() const { return m_routes; }

    void save(schema::FleetSnapshot& snapshot) const;
    void restore(const schema::FleetSnapshot& snapshot);

private:
    std::optional<std::uint64_t> m_version;
    std::string m_text;
    std::map<std::string, schema::Route> m_routes;
};

} // namespace clementinesill::control
