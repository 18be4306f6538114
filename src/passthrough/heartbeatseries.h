#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/serverheartbeat.h"

#include <optional>

namespace clementinesill::passthrough {

// Heartbeats in a row of an instance that is not known to run. Delayed heartbeats of an instance that has ended arrive alone, in a
// burst or out of order; those of one that runs keep coming at the heartbeat interval.
class HeartbeatSeries {
public:
    explicit HeartbeatSeries(Duration heartbeatInterval)
        : m_heartbeatInterval(heartbeatInterval)
    {
    }

    // Continues the series if the heartbeat is a later one of the same instance and none is missing for long; otherwise starts a
    // new one. An earlier one of the same instance is ignored.
    void record(const ServerHeartbeat& heartbeat, MonotonicTime now);

    void clear() { m_last.reset(); }

    // Leaves out the time until now for which the process was suspended.
    void skip(Duration pause, MonotonicTime now);

    // Last heartbeat of the series; empty if there is none.
    const std::optional<ServerHeartbeat>& last() const { return m_last; }

    // Number of heartbeats, and time since the first one. Heartbeats that follow within half an interval do not count.
    int length() const { return m_last ? m_length : 0; }
    Duration age(MonotonicTime now) const { return m_last ? now - m_firstAt : Duration::zero(); }

private:
    // Heartbeat intervals between two heartbeats that count, at least and at most.
    static constexpr double minimumGapIntervals = 0.5;
    static constexpr double maximumGapIntervals = 2.5;

    Duration m_heartbeatInterval;
    std::optional<ServerHeartbeat> m_last;
    int m_length = 0;
    MonotonicTime m_firstAt;
    // Of the last heartbeat that counted.
    MonotonicTime m_countedAt;
};

} // namespace clementinesill::passthrough
