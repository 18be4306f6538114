#pragma once

#include <chrono>

namespace clementinesill::admission {

enum class RequestEnd {
    Answered,
    // The backend server refused it: 503, 429, refused connection.
    Shed,
    Failed,
    TimedOut,
    // The caller went away.
    Cancelled,
};

// Requests whose latencies are compared with each other only.
enum class RequestKind {
    Read,
    Order,
};

// What a finished request tells about its backend server.
struct RequestResult {
    RequestEnd end = RequestEnd::Answered;
    // From handing over the request to the start of the answer.
    std::chrono::nanoseconds latency { 0 };
    RequestKind kind = RequestKind::Read;
};

} // namespace clementinesill::admission
