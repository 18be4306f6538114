#pragma once

#include <cstddef>
#include <vector>

namespace clementinesill::fleet {
struct FlowKey;
}

namespace clementinesill::agent {

// Encodes a PROXY protocol version 2 header with the caller's endpoint as source and the service's as destination.
std::vector<std::byte> proxyHeader(const fleet::FlowKey& key);

} // namespace clementinesill::agent
