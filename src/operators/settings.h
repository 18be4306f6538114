#pragma once

#include "settings.pb.h"

#include <string>

namespace clementinesill::operators {

// Reads a daemon's settings from a JSON file with comments and checks them against the schema.
// Throws Error (InvalidSettings) whose message names file, line, key and remedy.
schema::DaemonSettings loadDaemonSettings(const std::string& path);

} // namespace clementinesill::operators
