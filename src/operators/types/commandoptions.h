#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementinesill::operators {

// Options of one command line after the client settings have filled in what was not given.
struct CommandOptions {
    bool json = false;
    std::vector<std::string> controllers;
    // Admin endpoints of the daemons to ask.
    std::vector<std::string> daemons;
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;
    std::string operatorName;
    std::chrono::milliseconds timeout { 10'000 };
    // Empty for a new one.
    std::string requestId;
    // Revision the change was made from; the one in force if empty.
    std::optional<std::uint64_t> baseRevision;
    bool resume = false;
    bool follow = false;
    std::uint64_t after = 0;
    std::chrono::milliseconds interval { 1'000 };
    // Conditions on flows; empty for none.
    std::string caller;
    std::string service;
    std::string server;
    // Flows of each daemon.
    std::uint32_t limit = 100;
};

} // namespace clementinesill::operators
