#pragma once

#include "foundation/iclock.h"

#include <chrono>
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

    // Records that a controller is being stopped and need not be waited for.
    void recordDeparture(const std::string& name, MonotonicTime now);

    // Whether the controller has announced that it stops, and has not responded to a message that was sent after that.
    bool hasDeparted(const std::string& name, MonotonicTime now) const;

private:
    // The announcement reaches all controllers, those that lead later among them, but not the news that the stopped one is back.
    static constexpr auto departureLifetime = std::chrono::seconds(5);

    MonotonicTime m_defaultTime;
    std::map<std::string, MonotonicTime> m_lastResponses;
    std::map<std::string, MonotonicTime> m_departures;
};

} // namespace clementinesill::control
