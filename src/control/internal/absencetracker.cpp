#include "control/absencetracker.h"

#include <algorithm>

namespace clementinesill::control {

void AbsenceTracker::recordResponse(const std::string& name, MonotonicTime time)
{
    auto& last = m_lastResponses.try_emplace(name, time).first->second;
    last = std::max(last, time);
    const auto departure = m_departures.find(name);
    if (departure != m_departures.end() && time > departure->second)
        m_departures.erase(departure);
}

void AbsenceTracker::startReport(MonotonicTime now)
{
    m_lastResponses.clear();
    m_defaultTime = now;
}

void AbsenceTracker::reportSilence(const std::string& name, Duration silence, MonotonicTime now)
{
    m_lastResponses[name] = now - silence;
}

MonotonicTime AbsenceTracker::lastResponse(const std::string& name) const
{
    const auto found = m_lastResponses.find(name);
    return found == m_lastResponses.end() ? m_defaultTime : found->second;
}

void AbsenceTracker::recordDeparture(const std::string& name, MonotonicTime now)
{
    m_departures[name] = now;
}

bool AbsenceTracker::hasDeparted(const std::string& name, MonotonicTime now) const
{
    const auto found = m_departures.find(name);
    return found != m_departures.end() && now < found->second + departureLifetime;
}

} // namespace clementinesill::control
