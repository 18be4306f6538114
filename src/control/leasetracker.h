#pragma once

#include "control.pb.h"
#include "control/types/leasetrackeroptions.h"
#include "foundation/iclock.h"
#include "log.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace clementinesill::control {

class ServerRegistry;

// Tracks when each server last renewed its lease, and derives the transitions of silent and expired servers. The renewals
// are not replicated; only the leader has them.
class LeaseTracker {
public:
    // Last renewal of a server.
    struct Report {
        MonotonicTime lastRenewal;
        schema::RenewRequest request;
    };

    LeaseTracker(const IClock& clock, const LeaseTrackerOptions& options)
        : m_clock(clock)
        , m_options(options)
        , m_lastMajorityLive(clock.now())
    {
    }

    // Gives every server a full lease from now. Called when this controller becomes leader.
    void reset();

    void recordRenewal(const schema::RenewRequest& request);

    // Returns the transitions to submit now. Empty while more than half of the servers are silent, because then it is more
    // likely that this controller is partitioned from them: as long as no server renews, or, if some renew, for
    // expiryLeases leases after more than half became silent.
    std::vector<schema::ServerTransition> dueTransitions(const ServerRegistry& servers);

    // Whether the last call of dueTransitions() suppressed transitions because of a suspected partition.
    bool transitionsSuppressed() const { return m_transitionsSuppressed; }

    // Null if the server has no tracked lease, which starts with the first renewal or check after it registered. The
    // request is empty until the first renewal of the incarnation.
    const Report* report(std::uint32_t serverId) const;

private:
    MonotonicTime lastRenewalOf(const schema::ServerRecord& record);
    bool suspectsPartition(std::size_t silent, std::size_t live);
    void eraseRemoved(const ServerRegistry& servers);

    const IClock& m_clock;
    LeaseTrackerOptions m_options;
    std::map<std::uint32_t, Report> m_reports;
    bool m_transitionsSuppressed = false;
    // Last time when at most half of the servers were silent.
    MonotonicTime m_lastMajorityLive;
};

} // namespace clementinesill::control
