#include "fleet/controllerchoice.h"

#include "foundation/irandom.h"

#include <algorithm>
#include <utility>

namespace clementinesill::fleet {

namespace {

constexpr auto shortestBackoff = std::chrono::milliseconds(50);
constexpr int doublings = 6;

} // namespace

ControllerChoice::ControllerChoice(std::vector<std::string> endpoints, IRandom& random)
    : m_endpoints(std::move(endpoints))
    , m_random(random)
    , m_current(random.below(m_endpoints.size()))
{
}

void ControllerChoice::replaceEndpoints(std::vector<std::string> endpoints)
{
    const auto current = std::find(endpoints.begin(), endpoints.end(), m_endpoints[m_current]);
    m_current = current == endpoints.end() ? m_random.below(endpoints.size()) : static_cast<std::size_t>(current - endpoints.begin());
    m_endpoints = std::move(endpoints);
}

bool ControllerChoice::prefer(const std::function<bool(const std::string&)>& reached)
{
    for (std::size_t step = 0; step < m_endpoints.size(); ++step) {
        const auto index = (m_current + step) % m_endpoints.size();
        if (!reached(m_endpoints[index]))
            continue;
        m_current = index;
        return true;
    }
    return false;
}

Duration ControllerChoice::failed()
{
    m_current = (m_current + 1) % m_endpoints.size();
    m_followed = false;
    return backoff();
}

Duration ControllerChoice::follow(const std::string& hint)
{
    const auto found = std::find(m_endpoints.begin(), m_endpoints.end(), hint);
    if (found == m_endpoints.end() || *found == current())
        return failed();
    m_current = static_cast<std::size_t>(found - m_endpoints.begin());
    // A hint that leads to another hint may go in circles.
    if (!std::exchange(m_followed, true))
        return Duration::zero();
    return backoff();
}

Duration ControllerChoice::backoff()
{
    const auto doubled = shortestBackoff * (1 << std::min(m_failures, doublings));
    m_failures = std::min(m_failures + 1, doublings);
    const auto bound = std::chrono::duration_cast<std::chrono::microseconds>(std::min<Duration>(doubled, m_longestBackoff)).count();
    const auto half = static_cast<std::uint64_t>(bound / 2);
    return std::chrono::microseconds(half + m_random.below(half + 1));
}

} // namespace clementinesill::fleet
