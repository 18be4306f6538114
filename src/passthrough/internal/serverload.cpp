#include "passthrough/serverload.h"

#include <algorithm>

namespace clementinesill::passthrough {

namespace {

// A new sample has a weight of 1/16, so the moving average covers about sixteen requests.
constexpr int smoothingDivisor = 16;

} // namespace

void ServerLoad::responseStarted(Duration elapsed)
{
    // Excludes the time in the queue, which is about one service time for each m_slots requests ahead of this one.
    const auto rounds = 1 + (m_outstanding > m_slots ? (m_outstanding - 1) / m_slots : 0);
    m_serviceTime += (elapsed / rounds - m_serviceTime) / smoothingDivisor;
    requestAbandoned();
}

void ServerLoad::requestAbandoned()
{
    if (m_outstanding)
        --m_outstanding;
}

Duration ServerLoad::expectedQueueingDelay() const
{
    if (hasFreeSlot())
        return Duration::zero();
    return m_serviceTime * (m_outstanding - m_slots + 1) / m_slots;
}

Duration ServerLoad::roomExpectedIn() const
{
    if (hasRoom())
        return Duration::zero();
    return timePerStart() * (m_outstanding - m_slots - m_workEstimate.reserve(m_slots) + 1);
}

} // namespace clementinesill::passthrough
