#pragma once

#include "foundation/iclock.h"

#include <map>
#include <string>

namespace clementinesill::control {

// When each of the other controllers last responded to a leader. A leader records the responses; a follower takes over what
// the leader reports, so that an absence continues when the leader changes.
class AbsenceTracker {
public:
    // Every controller counts as present at the start of the process.
    explicit AbsenceTracker(MonotonicTime start)
        : m_defaultTime(start)
    {
    }

    void recordResponse(const std::string& name, MonotonicTime time);

    // Starts a leader's report, which names only the controllers that do not respond; all others responded now.
    void startReport(MonotonicTime now);

    // Adds a controller to the report that was started at the given time.
    void reportSilence(const std::string& name, Duration silence, MonotonicTime now);

    MonotonicTime lastResponse(const std::string& name) const;

private:
    MonotonicTime m_defaultTime;
    std::map<std::string, MonotonicTime> m_lastResponses;
};

} // namespace clementinesill::control
