#include "dataplane/types/forwarddecision.h"

namespace clementinesill::dataplane {

std::string_view name(ForwardReason reason)
{
    switch (reason) {
    case ForwardReason::FirstAccepting:
        return "first_accepting";
    case ForwardReason::CacheHit:
        return "cache_hit";
    case ForwardReason::FirstInRank:
        return "first_in_rank";
    case ForwardReason::RoundRobin:
        return "round_robin";
    case ForwardReason::NoService:
        return "no_service";
    case ForwardReason::NoServer:
        return "no_server";
    case ForwardReason::NoAcceptingServer:
        return "no_accepting_server";
    }
    return "unknown";
}

} // namespace clementinesill::dataplane
