#pragma once

#include "operators/types/configfile.h"
#include "operators/types/fleetconfig.h"

#include <span>
#include <string>
#include <vector>

namespace clementinesill::operators {

// Merges the files of the operators' folder in the order of their names, whatever order they are handed over in.
// A later file adds records, or replaces the keys that it gives of a record of the same name.
// Throws ConfigError (InvalidConfiguration, or Unsupported for IPv6) at the first fault, naming file, line, key and remedy.
FleetConfig mergeOperatorFolder(std::span<const ConfigFile> files);

// Reads the files of a folder whose names end in ".json"; others and subfolders are left out.
// Throws ConfigError (InvalidConfiguration): MissingFolder, Unreadable or TooLarge.
std::vector<ConfigFile> readOperatorFolder(const std::string& folder);

} // namespace clementinesill::operators
