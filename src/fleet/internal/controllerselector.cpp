#include "fleet/controllerselector.h"

#include "foundation/irandom.h"

#include <algorithm>
#include <utility>

namespace clementinesill::fleet {

namespace {

constexpr auto initialBackoffBound = std::chrono::milliseconds(50);
constexpr int maximumDoublings = 6;

} // namespace

ControllerSelector::ControllerSelector(std::vector<std::string> endpoints, IRandom& random)
    : m_endpoints(std::move(endpoints))
    , m_random(random)
    , m_current(random.below(m_endpoints.size()))
{
}

void ControllerSelector::replaceEndpoints(std::vector<std::string> endpoints)
{
    const auto current = std::find(endpoints.begin(), endpoints.end(), m_endpoints[m_current]);
    m_current = current == endpoints.end() ? m_random.below(endpoints.size()) : static_cast<std::size_t>(current - endpoints.begin());
    m_endpoints = std::move(endpoints);
}

bool ControllerSelector::selectIf(const std::function<bool(const std::string&)>& predicate)
{
    for (std::size_t step = 0; step < m_endpoints.size(); ++step) {
        const auto index = (m_current + step) % m_endpoints.size();
        if (!predicate(m_endpoints[index]))
            continue;
        m_current = index;
        return true;
    }
    return false;
}

Duration ControllerSelector::onFailure()
{
    m_current = (m_current + 1) % m_endpoints.size();
    m_selectedByHint = false;
    return backoff();
}

Duration ControllerSelector::onLeaderHint(const std::string& hint)
{
    const auto found = std::find(m_endpoints.begin(), m_endpoints.end(), hint);
    if (found == m_endpoints.end() || *found == current())
        return onFailure();
    m_current = static_cast<std::size_t>(found - m_endpoints.begin());
    // Controllers with stale views of the leader may refer to each other in a loop, so only the first hint has no backoff.
    if (!std::exchange(m_selectedByHint, true))
        return Duration::zero();
    return backoff();
}

Duration ControllerSelector::backoff()
{
    const auto doubled = initialBackoffBound * (1 << std::min(m_doublings, maximumDoublings));
    m_doublings = std::min(m_doublings + 1, maximumDoublings);
    const auto bound = std::chrono::duration_cast<std::chrono::microseconds>(std::min<Duration>(doubled, m_maximumBackoff)).count();
    const auto half = static_cast<std::uint64_t>(bound / 2);
    return std::chrono::microseconds(half + m_random.below(half + 1));
}

} // namespace clementinesill::fleet
