#pragma once

#include "admission/types/queuedrequest.h"
#include "admission/types/queueoptions.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace clementinesill::admission {

enum class QueuePriority {
    High,
    Normal,
};

// Short queue with a bounded wait, similar to CoDel: it absorbs bursts, and reduces the maximum wait while a standing queue
// exists.
//
// High priority first, then first in, first out.
class RequestQueue {
public:
    RequestQueue(const QueueOptions& options, const IClock& clock);

    // Adds a request; nullopt if the queue is full.
    std::optional<QueuedRequest> push(QueuePriority priority);

    // Removes the next request and returns its id; nullopt if the queue is empty.
    std::optional<std::uint64_t> pop();

    // Removes a request that timed out or was cancelled; false if it is not in the queue.
    bool remove(std::uint64_t id);

    std::size_t size() const;
    bool empty() const { return size() == 0; }

private:
    struct Entry {
        std::uint64_t id = 0;
        MonotonicTime enqueuedAt;
    };

    void recordWait(Duration wait);

    QueueOptions m_options;
    const IClock& m_clock;
    // One queue for each priority.
    std::array<std::deque<Entry>, 2> m_entries;
    std::uint64_t m_lastId = 0;
    MonotonicTime m_intervalEnd;
    Duration m_shortestWait { 0 };
    // Whether the shortest wait in the last interval was above the target.
    bool m_standingQueue = false;
};

} // namespace clementinesill::admission
