#pragma once

#include <string_view>

namespace clementinesill::requests {

// Class of a request in metrics, queueing and retries.
enum class RequestClass {
    // Idempotent method, bounded response.
    Idempotent,
    // Non-idempotent method: sent to the backend server at most once.
    NonIdempotent,
    // Idempotent method, unbounded response.
    Streaming,
};

// Value of the class label of metrics.
constexpr std::string_view name(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Idempotent:
        return "read";
    case RequestClass::NonIdempotent:
        return "order";
    case RequestClass::Streaming:
        return "feed";
    }
    return "read";
}

} // namespace clementinesill::requests
