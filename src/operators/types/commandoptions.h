#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementinesill::operators {

// Options of a command line, completed with defaults from the client settings.
struct CommandOptions {
    bool json = false;
    std::vector<std::string> controllers;
    // Admin endpoints of the daemons to query.
    std::vector<std::string> daemons;
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;
    std::string operatorName;
    std::chrono::milliseconds timeout { 10'000 };
    // Id of the change; a new one is generated if empty.
    std::string requestId;
    // Revision that the change is based on; the current revision if empty.
    std::optional<std::uint64_t> baseRevision;
    bool resume = false;
    bool follow = false;
    // Events are shown from the next number on.
    std::uint64_t after = 0;
    // Time between reads of the folder by the command watch.
    std::chrono::milliseconds interval { 1'000 };
    // Filters for flows; an empty one matches all.
    std::string caller;
    std::string service;
    std::string server;
    // Availability zone of the balancers whose placement is shown; empty for all.
    std::string zone;
    // Maximum number of flows to list from each daemon.
    std::uint32_t limit = 100;
};

} // namespace clementinesill::operators
