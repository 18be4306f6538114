#pragma once

#include "foundation/metrics.h"
#include "passthrough/linkbudget.h"
#include "passthrough/types/entrydecision.h"
#include "passthrough/types/linkadmissionoptions.h"

#include <array>

namespace clementinesill::passthrough {

struct EntryPacket;

// Applies the budget of the entry link to the decisions of a balancer, and counts what is sent and refused.
class LinkAdmission {
public:
    // The clock and the metrics must outlive the object.
    LinkAdmission(const LinkAdmissionOptions& options, const IClock& clock, MetricsRegistry& metrics);

    // Returns the decision if the link has room for it. Otherwise a first SYN is reset, and everything else is dropped: an earlier copy of a retransmitted SYN may have reached a server, so a reset could be untrue.
    EntryDecision admit(const EntryDecision& decision, const EntryPacket& entry);

    // Counts a received datagram.
    void recordReceived(bool ofOpenFlow, std::size_t datagramBytes) { m_budget.recordReceived(ofOpenFlow, datagramBytes); }

    // Returns the decision for an opening that is rejected for the reason, without looking for a server.
    EntryDecision reject(EntryReason reason, const EntryPacket& entry);

private:
    // Counters of one class of datagrams.
    struct ClassCounters {
        Counter* sent = nullptr;
        Counter* bytes = nullptr;
        Counter* refused = nullptr;
    };

    // Returns taken.
    bool count(EntryClass entryClass, std::size_t datagramBytes, bool taken);

    const LinkAdmissionOptions m_options;
    LinkBudget m_budget;
    // Indexed by EntryClass.
    std::array<ClassCounters, entryClassCount> m_counters;
};

} // namespace clementinesill::passthrough
