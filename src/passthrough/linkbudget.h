#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/entryclass.h"
#include "passthrough/types/linkbudgetoptions.h"

#include <boost/container/flat_map.hpp>
#include <cstdint>

namespace clementinesill::passthrough {

// Limits what a balancer sends to the rate of its VM's link, so that SYNs beyond it do not delay the packets of open flows.
// A token bucket for both directions: each class may use it down to a reserve for the classes that go first. Answers bursts in
// which callers' SYNs and retries alone would fill the link.
class LinkBudget {
public:
    LinkBudget(const LinkBudgetOptions& options, const IClock& clock);

    // Returns whether a datagram of this many bytes may be sent now, and counts it if so. Always true for packets of open
    // flows and for resets.
    bool take(EntryClass entryClass, std::size_t datagramBytes);

    // The same for a first SYN, which is also charged for the packets that its flow is expected to bring. A service whose share of
    // the recent openings is below an equal share may use the whole budget, so that one service's burst does not reject the new
    // flows of another one. 0 is the highest priority.
    bool takeOpening(std::uint32_t serviceId, std::uint32_t priority, std::size_t datagramBytes);

    // Counts a received datagram.
    void recordReceived(bool ofOpenFlow, std::size_t datagramBytes);

    // Bytes that the packets of a flow are expected to add to the link soon after its opening.
    double expectedFlowBytes() const;

private:
    void refill();
    // Counts a datagram that passes whatever the budget.
    void recordPassed(bool ofOpenFlow, std::size_t datagramBytes);
    void recordOpenFlowBytes(double bytes);
    void spend(double bytes);
    bool usesLessThanEqualShare(std::uint32_t serviceId) const;
    double datagramCost(std::size_t datagramBytes) const { return static_cast<double>(datagramBytes + m_options.datagramOverheadBytes); }

    const LinkBudgetOptions m_options;
    const double m_capacity;
    const IClock& m_clock;
    // Bytes that may be sent now; negative while the link still carries what exceeded the bucket.
    double m_tokens;
    // What openings were charged for packets that have not followed yet.
    double m_prepaid = 0;
    // Recent bytes of open flows, and recent openings whose flows have had time to bring packets; both decay at the same rate.
    double m_openFlowBytes = 0;
    double m_observedOpenings = 0;
    // Openings whose packets are still to come; they move to m_observedOpenings over time.
    double m_newOpenings = 0;
    // Recent openings by service.
    boost::container::flat_map<std::uint32_t, double> m_serviceOpenings;
    MonotonicTime m_updated;
};

} // namespace clementinesill::passthrough
