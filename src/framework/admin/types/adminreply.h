#pragma once

#include <string>

namespace clementinesill::admin {

struct AdminReply {
    // HTTP status code.
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

} // namespace clementinesill::admin
