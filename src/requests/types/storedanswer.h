#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace clementinesill::requests {

// A whole answer as it was given to the first request of an idempotency key.
struct StoredAnswer {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Bytes it takes, about.
    std::size_t size() const
    {
        auto bytes = sizeof(StoredAnswer) + body.size();
        for (const auto& [name, value] : fields)
            bytes += name.size() + value.size() + sizeof(fields.front());
        return bytes;
    }
};

} // namespace clementinesill::requests
