#pragma once

#include "admission/types/queueoptions.h"

namespace clementinesill::admission {

// Bounds the wait in a queue, similar to CoDel: long enough to absorb bursts, shorter while a standing queue exists.
class StandingQueue {
public:
    StandingQueue(const QueueOptions& options, const IClock& clock);

    // Records the wait of a request that was admitted or timed out, or zero when a request finds the queue empty.
    void recordWait(Duration wait);

    // Maximum wait of a request that is queued now.
    Duration maximumWait() const { return m_isStanding ? 2 * m_options.target : m_options.interval; }

private:
    QueueOptions m_options;
    const IClock& m_clock;
    MonotonicTime m_intervalEnd;
    Duration m_shortestWait { 0 };
    // Whether the shortest wait in the last interval was above the target.
    bool m_isStanding = false;
};

} // namespace clementinesill::admission
