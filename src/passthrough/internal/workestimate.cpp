#include "passthrough/workestimate.h"

#include <algorithm>

namespace clementinesill::passthrough {

namespace {

// Longer handshakes include a retransmission by the caller, which says nothing about the round trip.
constexpr auto maximumHandshake = std::chrono::milliseconds(100);
constexpr auto minimumWork = std::chrono::milliseconds(1);
// Requests in the reserve wait at the server, whose queue is limited and has no priorities.
constexpr std::uint32_t maximumReservePerSlot = 3;

} // namespace

void WorkEstimate::recordHandshake(Duration handshake)
{
    m_handshake.record(std::min<Duration>(handshake, maximumHandshake));
}

void WorkEstimate::recordWork(const Endpoint& route, Duration work)
{
    const auto sample = std::max<Duration>(work, minimumWork);
    m_meanWork.record(sample);
    m_workByRoute[route].record(sample);
}

Duration WorkEstimate::work(const Endpoint& route) const
{
    const auto found = m_workByRoute.find(route);
    return found == m_workByRoute.end() ? meanWork() : found->second.value();
}

std::uint32_t WorkEstimate::reserve(std::uint32_t slots) const
{
    const auto work = std::max<Duration>(meanWork(), minimumWork);
    const auto needed = (slots * handshake() + work - Duration(1)) / work;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(needed, 1, std::int64_t { maximumReservePerSlot } * slots));
}

} // namespace clementinesill::passthrough
