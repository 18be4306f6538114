#include "dataplane/forwarderstrategy.h"

#include "dataplane/internal/forwarder.h"
#include "dataplane/internal/rankonlyforwarder.h"
#include "dataplane/internal/roundrobinforwarder.h"
#include "foundation/error.h"

#include <algorithm>
#include <array>
#include <string>

namespace clementinesill::dataplane {

namespace {

struct Strategy {
    std::string_view name;
    std::unique_ptr<IForwarder> (*make)(IFlowCache& cache);
};

// The first entry is the default.
constexpr std::array strategies {
    Strategy { "rendezvous", [](IFlowCache& cache) -> std::unique_ptr<IForwarder> { return std::make_unique<Forwarder>(cache); } },
    Strategy { "rank-only", [](IFlowCache&) -> std::unique_ptr<IForwarder> { return std::make_unique<RankOnlyForwarder>(); } },
    Strategy { "round-robin", [](IFlowCache&) -> std::unique_ptr<IForwarder> { return std::make_unique<RoundRobinForwarder>(); } },
};

} // namespace

std::unique_ptr<IForwarder> makeForwarder(std::string_view strategy, IFlowCache& cache)
{
    if (strategy.empty())
        return strategies.front().make(cache);
    const auto* const found = std::find_if(strategies.begin(), strategies.end(), [&](const auto& entry) { return entry.name == strategy; });
    if (found == strategies.end())
        throw Error(ErrorKind::InvalidSettings, "balancer.strategy is '" + std::string(strategy) + "'", "use \"rendezvous\", \"rank-only\" or \"round-robin\"");
    return found->make(cache);
}

} // namespace clementinesill::dataplane
