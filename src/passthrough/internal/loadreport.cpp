#include "passthrough/loadreport.h"

#include "passthrough/types/flowpacket.h"
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

std::optional<dataplane::LoadNotice> makeLoadNotice(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::uint32_t serverId, std::uint32_t priority)
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
        .validity = full ? fullValidity : busyValidity,
        .servers = { search.visited.begin(), search.visited.end() },
    };
    if (!opened && serverId)
        notice.servers.push_back(serverId);
    if (notice.servers.empty())
        return std::nullopt;
    return notice;
}

} // namespace clementinesill::passthrough
