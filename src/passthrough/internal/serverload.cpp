#include "passthrough/serverload.h"

namespace clementinesill::passthrough {

void ServerLoad::responseStarted(Duration elapsed)
{
    // Excludes the time in the queue, which is about one service time for each m_slots requests ahead of this one.
    const auto rounds = 1 + (m_outstanding > m_slots ? (m_outstanding - 1) / m_slots : 0);
    m_serviceTime.record(elapsed / rounds);
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
    return m_serviceTime.value() * (m_outstanding - m_slots + 1) / m_slots;
}

Duration ServerLoad::roomExpectedIn() const
{
    if (hasRoom())
        return Duration::zero();
    return timePerStart() * (m_outstanding - m_slots - m_workEstimate.reserve(m_slots) + 1);
}

} // namespace clementinesill::passthrough
