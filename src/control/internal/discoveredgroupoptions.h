#pragma once

#include <string>
#include <vector>

namespace clementinesill::control {

struct ReplicatedLogOptions;

// Sets the options of a group whose members discover each other through seeds (endpoints). Such controllers use their endpoint
// as name. On the first start of the fleet the seeds bootstrap the group; every other controller joins an existing group.
void setDiscoveredGroupOptions(ReplicatedLogOptions& options, bool firstStart, std::vector<std::string> seeds);

} // namespace clementinesill::control
