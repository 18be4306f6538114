#pragma once

#include <memory>
#include <string_view>

namespace clementinesill::dataplane {

class IFlowCache;
class IForwarder;

// Creates the forwarder for a value of the setting balancer.strategy: "rendezvous" (also if empty), or a baseline for
// benchmarks: "rank-only" (no flow cache) or "round-robin" (per packet). The cache must outlive the forwarder.
// Throws Error (InvalidSettings) for any other value.
std::unique_ptr<IForwarder> makeForwarder(std::string_view strategy, IFlowCache& cache);

} // namespace clementinesill::dataplane
