#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace clementinesill::requests {

// Complete response to the first request of an idempotency key.
struct StoredResponse {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Approximate memory use in bytes.
    std::size_t size() const
    {
        auto bytes = sizeof(StoredResponse) + body.size();
        for (const auto& [name, value] : fields)
            bytes += name.size() + value.size() + sizeof(fields.front());
        return bytes;
    }
};

} // namespace clementinesill::requests
