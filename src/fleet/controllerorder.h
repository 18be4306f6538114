#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace clementinesill::fleet {

// Sorts the controllers' endpoints in an order that is random for each daemon but the same each time. Daemons that read from one
// controller then turn to different ones when it fails, so that a second bad controller does not affect all of them.
std::vector<std::string> orderControllers(std::vector<std::string> endpoints, std::string_view daemon);

} // namespace clementinesill::fleet
