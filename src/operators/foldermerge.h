#pragma once

#include "operators/types/configfile.h"
#include "operators/types/fleetconfig.h"

#include <span>
#include <string>
#include <vector>

namespace clementinesill::operators {

// Merges the files of the operators' folder in the order of their names, independent of their order in the span.
// A later file adds records, or overrides the keys that it sets in an earlier record of the same name.
// Throws ConfigError (InvalidConfiguration, or Unsupported for IPv6) with file, line, key and remedy at the first fault.
FleetConfig mergeOperatorFolder(std::span<const ConfigFile> files);

// Reads the files of a folder whose names end in ".json", sorted by name; ignores other files and subfolders.
// Throws ConfigError (InvalidConfiguration): MissingFolder, Unreadable or TooLarge.
std::vector<ConfigFile> readOperatorFolder(const std::string& folder);

} // namespace clementinesill::operators
