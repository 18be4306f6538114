#pragma once

#include <string_view>

namespace clementinesill::requests {

// Class of a request in metrics, queueing and retries.
enum class RequestClass {
    // Idempotent method, bounded answer.
    Read,
    // Non-idempotent method: runs at most once.
    Order,
    // Idempotent method, unbounded answer.
    Feed,
};

constexpr std::string_view name(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Read:
        return "read";
    case RequestClass::Order:
        return "order";
    case RequestClass::Feed:
        return "feed";
    }
    return "read";
}

} // namespace clementinesill::requests
