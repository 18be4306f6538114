#pragma once

#include <cstddef>
#include <vector>

namespace clementinesill::fleet {
struct FlowKey;
}

namespace clementinesill::agent {

// The PROXY protocol header, version 2, that tells a backend server the caller's and the service's endpoint.
std::vector<std::byte> proxyHeader(const fleet::FlowKey& key);

} // namespace clementinesill::agent
