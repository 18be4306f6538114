#pragma once

#include <chrono>
#include <string>

namespace clementinesill::operators {

// Fetches one page of a daemon's admin endpoint over HTTP. daemon is "ADDRESS:PORT", target the path with its query.
// Throws Error: Unavailable if there is no answer in time, Malformed if the answer is not a page, InvalidArgument if the
// daemon refuses the query.
std::string fetchAdminPage(const std::string& daemon, const std::string& target, std::chrono::milliseconds timeout);

} // namespace clementinesill::operators
