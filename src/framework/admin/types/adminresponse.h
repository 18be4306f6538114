#pragma once

#include <string>

namespace clementinesill::admin {

// An HTTP response of the admin endpoint.
struct AdminResponse {
    // HTTP status code.
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

} // namespace clementinesill::admin
