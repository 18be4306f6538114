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

// Soft state of the leader: when each server last renewed, and which transitions follow from that.
class LeaseTracker {
public:
    // What a server said last.
    struct Report {
        MonotonicTime heard;
        schema::RenewRequest request;
    };

    LeaseTracker(const IClock& clock, const LeaseTrackerOptions& options)
        : m_clock(clock)
        , m_options(options)
        , m_lastFewSilent(clock.now())
    {
    }

    // Gives every server a whole lease from now; called when this controller starts to lead.
    void restart();

    void renewed(const schema::RenewRequest& request);

    // Transitions that are due now. Held back while more than half of the servers are silent, for then this controller is
    // more likely to be the one cut off: as long as none renews at all, else for the leases after which a server expires.
    std::vector<schema::ServerTransition> due(const ServerRegistry& servers);

    // Whether the last call of due() held transitions back for that reason.
    bool heldBack() const { return m_heldBack; }

    // Null if the server has not renewed since this controller leads.
    const Report* report(std::uint32_t serverId) const;

private:
    MonotonicTime lastHeard(const schema::ServerRecord& record);
    bool holdsBack(std::size_t silent, std::size_t live);
    void forgetRemoved(const ServerRegistry& servers);

    const IClock& m_clock;
    LeaseTrackerOptions m_options;
    std::map<std::uint32_t, Report> m_reports;
    bool m_heldBack = false;
    // When at most half of the servers were silent last.
    MonotonicTime m_lastFewSilent;
};

} // namespace clementinesill::control
