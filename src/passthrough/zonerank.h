#pragma once

#include "fleet/types/serverentry.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementinesill::passthrough {

// Returns the servers in the order in which a flow that enters in the zone visits them: the zone's servers in rank order,
// then the others in rank order, and silent ones last. The zone comes first because hops between zones and large responses
// sent between zones cost more than a slightly longer queue in the same zone.
std::vector<const fleet::ServerEntry*> rankServersForZone(std::uint64_t flowHash, std::span<const fleet::ServerEntry> servers, const std::string& zone);

} // namespace clementinesill::passthrough
