#pragma once

#include <chrono>
#include <string>

namespace clementinesill::operators {

// Fetches a page from a daemon's admin endpoint over HTTP. daemon is "ADDRESS:PORT", target the path with its query.
// Throws Error: Unavailable if the daemon sends no complete response in time, InvalidArgument if the response status is
// not 200 or daemon is not a valid endpoint.
std::string fetchAdminPage(const std::string& daemon, const std::string& target, std::chrono::milliseconds timeout);

} // namespace clementinesill::operators
