#pragma once

#include "settings.pb.h"

#include <string>

namespace clementinesill::operators {

struct SettingsOptions {
    // Binds each address that the daemon will listen on once, to find one that is in use.
    bool tryAddresses = false;
};

// Reads a daemon's settings from a JSON file with comments and checks them against the schema and the machine.
// Throws ConfigError whose message names file, line, key and remedy: InvalidSettings; Unsupported for IPv6.
schema::DaemonSettings loadDaemonSettings(const std::string& path, const SettingsOptions& options = {});

// Reads the settings of the command line, with the same checks and errors.
schema::ClientSettings loadClientSettings(const std::string& path);

} // namespace clementinesill::operators
