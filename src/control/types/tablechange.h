#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace clementinesill::control {

// Records that one version of the table, or a range of versions, changed.
struct TableChange {
    std::set<std::uint32_t> services;
    std::set<std::string> zones;
    std::set<std::uint32_t> servers;
    // Keyed by endpoint.
    std::set<std::string> routes;
    bool document = false;

    bool empty() const { return services.empty() && zones.empty() && servers.empty() && routes.empty() && !document; }
    void merge(const TableChange& other);
};

} // namespace clementinesill::control
