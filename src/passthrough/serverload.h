#pragma once

#include "foundation/iclock.h"
#include "foundation/movingaverage.h"
#include "passthrough/workestimate.h"

#include <cstdint>

namespace clementinesill::passthrough {

// Load of one server as observed by its agent: requests without a response, and response times. Up to date with each packet,
// whereas load values reported by a server lag.
class ServerLoad {
public:
    // Sets how many requests the server processes concurrently.
    void setSlots(std::uint32_t slots) { m_slots = slots ? slots : 1; }

    void requestStarted() { ++m_outstanding; }

    // Called when the response to a request has begun. elapsed is the time since the request arrived.
    void responseStarted(Duration elapsed);

    // Called when a request has ended without a response.
    void requestAbandoned();

    std::uint32_t outstanding() const { return m_outstanding; }

    bool hasFreeSlot() const { return m_outstanding < m_slots; }

    // How long a request that arrives now would wait for a slot.
    Duration expectedQueueingDelay() const;

    std::uint32_t slots() const { return m_slots; }

    WorkEstimate& workEstimate() { return m_workEstimate; }
    const WorkEstimate& workEstimate() const { return m_workEstimate; }

    // Whether fewer requests are in flight than the slots and their reserve hold; see WorkEstimate::reserve().
    bool hasRoom() const { return m_outstanding < m_slots + m_workEstimate.reserve(m_slots); }

    // Expected time until hasRoom() returns true, and mean time between two slots becoming free.
    Duration roomExpectedIn() const;
    Duration timePerStart() const { return m_workEstimate.meanWork() / m_slots; }

private:
    std::uint32_t m_slots = 1;
    std::uint32_t m_outstanding = 0;
    // Time that a request occupies a slot.
    MovingAverage<16> m_serviceTime { std::chrono::milliseconds(30) };
    WorkEstimate m_workEstimate;
};

} // namespace clementinesill::passthrough
