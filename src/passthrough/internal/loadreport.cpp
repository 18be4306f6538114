#include "passthrough/loadreport.h"

#include "passthrough/types/relaydecision.h"
#include "passthrough/types/search.h"

namespace clementinesill::passthrough {

namespace {

// A busy server has room again as soon as one of its requests ends. With some tens of balancers, one of them tries a busy
// server again within a few milliseconds.
constexpr std::chrono::milliseconds busyValidity { 50 };
// A full server has a queue as long as the longest acceptable wait, which lasts longer.
constexpr std::chrono::milliseconds fullValidity { 100 };

} // namespace

std::optional<dataplane::LoadNotice> makeLoadNotice(const RelayDecision& decision, const Search& search, std::uint32_t serverId, std::uint32_t priority)
{
    const bool rejected = decision.reason == RelayReason::RejectedByAllServers;
    const bool waits = decision.action == RelayAction::Wait;
    const bool opened = decision.action == RelayAction::Open && decision.reason != RelayReason::AdmittedAfterWait;
    if (!rejected && !waits && !opened)
        return std::nullopt;
    dataplane::LoadNotice notice {
        .level = rejected ? dataplane::LoadLevel::Full : dataplane::LoadLevel::Busy,
        .priority = rejected ? priority : 0,
        .validity = rejected ? fullValidity : busyValidity,
        .servers = { search.visited.begin(), search.visited.end() },
    };
    if (!opened && serverId)
        notice.servers.push_back(serverId);
    if (notice.servers.empty())
        return std::nullopt;
    return notice;
}

} // namespace clementinesill::passthrough
