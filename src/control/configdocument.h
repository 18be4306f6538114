#pragma once

#include "log.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

namespace clementinesill::control {

// The configuration that operators replace as a whole, by a version of their own. The highest version is in force; an
// equal or lower one changes nothing.
class ConfigDocument {
public:
    bool supersedes(std::uint64_t version) const { return version > m_version; }

    // Takes the document. serviceIds gives the id of each service by its place in the change. Returns the endpoints of
    // the routes that were added, changed or removed.
    std::set<std::string> replace(const schema::DocumentChange& change, std::span<const std::uint32_t> serviceIds);

    // 0 before the first document.
    std::uint64_t version() const { return m_version; }
    // As the operators sent it.
    const std::string& text() const { return m_text; }
    // By endpoint.
    const std::map<std::string, schema::Route>& routes() const { return m_routes; }

    void save(schema::FleetSnapshot& snapshot) const;
    void restore(const schema::FleetSnapshot& snapshot);

private:
    std::uint64_t m_version = 0;
    std::string m_text;
    std::map<std::string, schema::Route> m_routes;
};

} // namespace clementinesill::control
