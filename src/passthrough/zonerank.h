#pragma once

#include "fleet/types/serverentry.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementinesill::passthrough {

// The servers in the order in which a flow that entered in the zone asks them: those of the zone in rank order, then the
// others in rank order; silent ones last. Answers load pattern: large answers and hops between zones cost more than a
// somewhat longer queue at home.
std::vector<const fleet::ServerEntry*> rankFromZone(std::uint64_t flowHash, std::span<const fleet::ServerEntry> servers, const std::string& zone);

} // namespace clementinesill::passthrough
