#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace clementinesill::control {

// Keys of the table entries that one version, or a range of versions, added, changed or removed.
struct TableChange {
    std::set<std::uint32_t> services;
    std::set<std::string> zones;
    std::set<std::uint32_t> servers;
    // Keyed by endpoint.
    std::set<std::string> routes;
    bool document = false;

    bool empty() const { return services.empty() && zones.empty() && servers.empty() && routes.empty() && !document; }
    void merge(const TableChange& other);
    // Approximate memory, in bytes.
    std::size_t bytes() const;
};

} // namespace clementinesill::control
