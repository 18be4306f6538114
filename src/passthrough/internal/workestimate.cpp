#include "passthrough/workestimate.h"

#include <algorithm>

namespace clementinesill::passthrough {

namespace {

// A new sample has a weight of 1/16, so a moving average covers about sixteen requests.
constexpr int smoothingDivisor = 16;
// Longer handshakes include a retransmission by the caller, which says nothing about the round trip.
constexpr auto maximumHandshake = std::chrono::milliseconds(100);
constexpr auto minimumWork = std::chrono::milliseconds(1);
// Requests in the reserve wait at the server, whose queue is limited and has no priorities.
constexpr std::uint32_t maximumReservePerSlot = 3;

void smooth(Duration& average, Duration sample) { average += (sample - average) / smoothingDivisor; }

} // namespace

void WorkEstimate::recordHandshake(Duration handshake)
{
    smooth(m_handshake, std::min<Duration>(handshake, maximumHandshake));
}

void WorkEstimate::recordWork(const Endpoint& route, Duration work)
{
    const auto sample = std::max<Duration>(work, minimumWork);
    smooth(m_meanWork, sample);
    const auto [entry, added] = m_workByRoute.try_emplace(route, sample);
    if (!added)
        smooth(entry->second, sample);
}

Duration WorkEstimate::work(const Endpoint& route) const
{
    const auto found = m_workByRoute.find(route);
    return found == m_workByRoute.end() ? m_meanWork : found->second;
}

std::uint32_t WorkEstimate::reserve(std::uint32_t slots) const
{
    const auto work = std::max<Duration>(m_meanWork, minimumWork);
    const auto needed = (slots * m_handshake + work - Duration(1)) / work;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(needed, 1, std::int64_t { maximumReservePerSlot } * slots));
}

} // namespace clementinesill::passthrough
