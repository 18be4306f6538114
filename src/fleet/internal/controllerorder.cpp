#include "fleet/controllerorder.h"

#include "foundation/hash.h"

#include <algorithm>
#include <span>

namespace clementinesill::fleet {

std::vector<std::string> orderControllers(std::vector<std::string> endpoints, std::string_view daemon)
{
    const auto hash = [](std::string_view text, std::uint64_t seed) { return hash64(std::as_bytes(std::span(text)), seed); };
    const auto daemonHash = hash(daemon, 0);
    const auto key = [&](const std::string& endpoint) { return std::pair(hash(endpoint, daemonHash), std::string_view(endpoint)); };
    std::sort(endpoints.begin(), endpoints.end(), [&](const auto& left, const auto& right) { return key(left) < key(right); });
    return endpoints;
}

} // namespace clementinesill::fleet
