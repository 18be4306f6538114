#pragma once

#include "admission/admissionqueue.h"
#include "passthrough/types/waitingopening.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace clementinesill::passthrough {

// SYNs that wait at the agent for a slot of its server, with the state of their searches. AdmissionQueue decides on their order.
// Must only be used on the agent's event loop.
class WaitingOpenings {
public:
    WaitingOpenings(const admission::AdmissionQueueOptions& options, const IClock& clock);

    // Adds a SYN; false if the queue rejects it. See AdmissionQueue::push(). Openings that it displaces are returned by the next
    // takeDisplaced().
    bool add(const FlowPacket& packet, const Search& search, const admission::QueueTraits& traits, Duration readyIn, Duration timePerStart);

    // Sets the bytes of a waiting SYN.
    void setBytes(const fleet::FlowKey& flow, std::span<const std::byte> bytes);

    // Whether this SYN, or an earlier copy of it, waits here.
    bool holds(const FlowPacket& packet) const;

    // Removes the SYN of a flow, if one waits.
    void erase(const fleet::FlowKey& flow);

    // Removes the opening that goes next.
    std::optional<WaitingOpening> takeNext();

    std::vector<WaitingOpening> takeDisplaced();
    std::vector<WaitingOpening> takeExpired();

    bool hasDisplaced() const { return !m_displaced.empty(); }
    std::optional<MonotonicTime> nextExpiry() const { return m_queue.nextExpiry(); }
    std::size_t size() const { return m_openings.size(); }
    bool empty() const { return m_openings.empty(); }

private:
    WaitingOpening take(std::uint64_t id);

    const IClock& m_clock;
    admission::AdmissionQueue m_queue;
    std::unordered_map<std::uint64_t, WaitingOpening> m_openings;
    std::unordered_map<fleet::FlowKey, std::uint64_t> m_ids;
    std::vector<WaitingOpening> m_displaced;
};

} // namespace clementinesill::passthrough
