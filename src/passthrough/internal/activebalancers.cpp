#include "passthrough/activebalancers.h"

#include <algorithm>

namespace clementinesill::passthrough {

namespace {

// A balancer that has sent nothing for this long no longer competes for the server.
constexpr std::chrono::seconds activeTime { 1 };

} // namespace

std::size_t ActiveBalancers::count()
{
    const auto oldest = m_clock.now() - activeTime;
    m_lastSeen.erase(std::remove_if(m_lastSeen.begin(), m_lastSeen.end(), [oldest](const auto& entry) { return entry.second < oldest; }), m_lastSeen.end());
    return std::max<std::size_t>(m_lastSeen.size(), 1);
}

} // namespace clementinesill::passthrough
