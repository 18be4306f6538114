#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::passthrough {

// The work of one server as its agent sees it: requests without an answer, and how long answers take. Exact and at once,
// where a server's own word on its load lags.
class ServerLoad {
public:
    // Requests the server runs at once.
    void setSlots(std::uint32_t slots) { m_slots = slots ? slots : 1; }

    void started() { ++m_outstanding; }

    // The answer to a request has begun. took is the time since the request came.
    void answered(Duration took);

    // A request ended without an answer.
    void abandoned();

    std::uint32_t outstanding() const { return m_outstanding; }

    // Whether a request that comes now finds a free slot.
    bool hasFreeSlot() const { return m_outstanding < m_slots; }

    // How long a request that comes now waits for a slot.
    Duration expectedWait() const;

private:
    std::uint32_t m_slots = 1;
    std::uint32_t m_outstanding = 0;
    // Moving average of the time a request runs.
    Duration m_serviceTime = std::chrono::milliseconds(30);
};

} // namespace clementinesill::passthrough
