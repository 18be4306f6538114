#pragma once

#include "settings.pb.h"

#include <string>

namespace clementinesill::operators {

struct SettingsOptions {
    // Binds and releases each address that the daemon will listen on, to detect addresses in use.
    bool probeListenAddresses = false;
};

// Reads a daemon's settings from a JSON file with comments and checks them against the schema and the local machine.
// Throws ConfigError (InvalidSettings, or Unsupported for IPv6) with file, line, key and remedy.
schema::DaemonSettings loadDaemonSettings(const std::string& path, const SettingsOptions& options = {});

// Reads the settings of the command-line client, with the same errors.
schema::ClientSettings loadClientSettings(const std::string& path);

} // namespace clementinesill::operators
