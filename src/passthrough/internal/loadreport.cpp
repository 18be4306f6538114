#include "passthrough/loadreport.h"

#include "passthrough/types/flowpacket.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/search.h"

#include <algorithm>

namespace clementinesill::passthrough {

namespace {

// A busy server has room again as soon as one of its requests ends. With some tens of balancers, one of them tries a busy
// server again within a few milliseconds.
constexpr std::chrono::milliseconds busyValidity { 50 };
// Bounds of the time for which a server is reported as full: long enough to spare the search that finds it full again, and
// short enough that room is used soon after a burst.
constexpr std::chrono::milliseconds minimumFullValidity { 25 };

} // namespace

std::chrono::milliseconds fullValidity(std::size_t balancers, Duration timePerStart)
{
    const auto validity = std::chrono::duration_cast<std::chrono::milliseconds>(static_cast<std::int64_t>(balancers) * timePerStart);
    return std::clamp(validity, minimumFullValidity, dataplane::maximumNoticeValidity);
}

std::optional<dataplane::LoadNotice> makeLoadNotice(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::uint32_t serverId, std::uint32_t priority, std::chrono::milliseconds validityIfFull)
{
    // Retransmissions are rejected by servers without a free slot, at which another SYN may still wait.
    const bool full = decision.reason == RelayReason::RejectedByAllServers && !packet.synRetransmissions();
    const bool waits = decision.action == RelayAction::Wait;
    const bool retransmissionRejected = packet.synRetransmissions() && (decision.reason == RelayReason::RejectedByAllServers || decision.reason == RelayReason::RetransmissionNotPlaced);
    const bool opened = decision.action == RelayAction::Open && decision.reason != RelayReason::AdmittedAfterWait;
    if (!full && !waits && !opened && !retransmissionRejected)
        return std::nullopt;
    dataplane::LoadNotice notice {
        .level = full ? dataplane::LoadLevel::Full : dataplane::LoadLevel::Busy,
        .priority = full ? priority : 0,
        .validity = full ? validityIfFull : busyValidity,
        .servers = { search.visited.begin(), search.visited.end() },
    };
    if (!opened && serverId)
        notice.servers.push_back(serverId);
    if (notice.servers.empty())
        return std::nullopt;
    return notice;
}

} // namespace clementinesill::passthrough
