#include "control/absencetracker.h"

#include <algorithm>

namespace clementinesill::control {

void AbsenceTracker::recordResponse(const std::string& name, MonotonicTime time)
{
    auto& last = m_lastResponses.try_emplace(name, time).first->second;
    last = std::max(last, time);
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

} // namespace clementinesill::control
