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
    // Lease of a server's current incarnation.
    struct Lease {
        // Time of the last renewal; before the first one, when the tracking of the incarnation started.
        MonotonicTime start;
        // The last renewal; contains only the server id and the incarnation before the first one.
        schema::RenewRequest request;
    };

    LeaseTracker(const IClock& clock, const LeaseTrackerOptions& options)
        : m_clock(clock)
        , m_options(options)
        , m_lastMajorityNotSilent(clock.now())
    {
    }

    // Gives every server a full lease from now. Called when this controller becomes leader.
    void reset();

    void recordRenewal(const schema::RenewRequest& request);

    // Returns the transitions to submit now. Returns none if more than half of the servers, and not just a few, are silent,
    // because a partition between them and this controller is then the more likely cause. This lasts as long as all servers
    // are silent; if some renew, it ends expiryLeases lease durations after more than half became silent.
    std::vector<schema::ServerTransition> dueTransitions(const ServerRegistry& servers);

    // Whether the last call of dueTransitions() suppressed transitions because of a suspected partition.
    bool transitionsSuppressed() const { return m_transitionsSuppressed; }

    // Null if the server's lease is not tracked yet; tracking starts with the first renewal or the first dueTransitions()
    // after the registration.
    const Lease* lease(std::uint32_t serverId) const;

private:
    // Returns when the server's lease started. Starts a lease for a server or an incarnation that is not tracked yet.
    MonotonicTime updateLeaseStart(const schema::ServerRecord& record);
    bool suspectsPartition(std::size_t silent, std::size_t total);
    void eraseRemoved(const ServerRegistry& servers);

    const IClock& m_clock;
    LeaseTrackerOptions m_options;
    std::map<std::uint32_t, Lease> m_leases;
    bool m_transitionsSuppressed = false;
    // Last time when at most half of the servers were silent, or too few to suspect a partition.
    MonotonicTime m_lastMajorityNotSilent;
};

} // namespace clementinesill::control
