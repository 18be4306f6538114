#include "passthrough/serverload.h"

#include <algorithm>

namespace clementinesill::passthrough {

namespace {

// Part of a new observation in the moving average: some sixteen requests are remembered.
constexpr int averageDivisor = 16;

} // namespace

void ServerLoad::answered(Duration took)
{
    // Time in the server's queue is not time in a slot.
    const auto turns = 1 + (m_outstanding > m_slots ? (m_outstanding - 1) / m_slots : 0);
    m_serviceTime += (took / turns - m_serviceTime) / averageDivisor;
    abandoned();
}

void ServerLoad::abandoned()
{
    if (m_outstanding)
        --m_outstanding;
}

Duration ServerLoad::expectedWait() const
{
    if (hasFreeSlot())
        return Duration::zero();
    return m_serviceTime * (m_outstanding - m_slots + 1) / m_slots;
}

} // namespace clementinesill::passthrough
