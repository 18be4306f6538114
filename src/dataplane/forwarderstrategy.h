#pragma once

#include <memory>
#include <string_view>

namespace clementinesill::dataplane {

class IFlowCache;
class IForwarder;

// Makes the forwarder that settings name as balancer.strategy: "rendezvous" (also if empty), or a baseline for
// measurements: "rank-only" (no flow cache), "round-robin" (per packet). The cache must outlive the forwarder.
// Throws Error (InvalidSettings) for any other name.
std::unique_ptr<IForwarder> makeForwarder(std::string_view strategy, IFlowCache& cache);

} // namespace clementinesill::dataplane
