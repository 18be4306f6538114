#include "passthrough/serverfailures.h"

#include <bit>
#include <limits>

namespace clementinesill::passthrough {

namespace {

constexpr int recordedRequests = std::numeric_limits<std::uint32_t>::digits;
// A server fails if it ends more than a quarter of the recorded requests without a response.
constexpr int maximumFailures = recordedRequests / 4;
constexpr auto probeInterval = std::chrono::milliseconds(200);

} // namespace

void ServerFailures::record(bool responded)
{
    m_failedRequests = m_failedRequests << 1 | (responded ? 0U : 1U);
}

bool ServerFailures::failing() const
{
    return std::popcount(m_failedRequests) > maximumFailures;
}

bool ServerFailures::takeProbe()
{
    const auto now = m_clock.now();
    if (now < m_nextProbe)
        return false;
    m_nextProbe = now + probeInterval;
    return true;
}

} // namespace clementinesill::passthrough
