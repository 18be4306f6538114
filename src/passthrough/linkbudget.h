#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/entryclass.h"

#include <cstddef>
#include <cstdint>

namespace clementinesill::passthrough {

// Limits what a balancer sends to the rate of its VM's link, so that SYNs beyond it do not delay the packets of open flows.
// A token bucket: each class may use it down to a reserve for the classes that go first.
class LinkBudget {
public:
    // Headers that the link carries in addition to each datagram.
    static constexpr std::size_t ipAndUdpHeaderBytes = 28;

    // bytesPerSecond: rate of the link; 0 for no limit.
    LinkBudget(double bytesPerSecond, const IClock& clock);

    // Returns whether a datagram of this many bytes, without IP and UDP headers, may be sent now, and counts it if so. Always
    // true for packets of open flows. The priority of the route matters for openings only; 0 is the highest.
    bool take(EntryClass entryClass, std::uint32_t priority, std::size_t datagramBytes);

private:
    double reserve(EntryClass entryClass, std::uint32_t priority) const;
    void refill();

    const double m_bytesPerSecond;
    const double m_capacity;
    const IClock& m_clock;
    // Bytes that may be sent now; negative while the link still sends packets of open flows that exceeded the bucket.
    double m_tokens;
    MonotonicTime m_updated;
};

} // namespace clementinesill::passthrough
