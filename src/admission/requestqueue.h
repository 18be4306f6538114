#pragma once

#include "admission/types/queueoptions.h"
#include "admission/types/queueplace.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace clementinesill::admission {

enum class QueuePriority {
    High,
    Normal,
};

// Short queue bounded by time, after CoDel: it takes up bursts and shortens its bound once it never empties.
//
// High priority goes first; within a priority the order is that of arrival.
class RequestQueue {
public:
    RequestQueue(const QueueOptions& options, const IClock& clock);

    // Empty if the queue is full.
    std::optional<QueuePlace> offer(QueuePriority priority);

    // Takes the next request to run.
    std::optional<std::uint64_t> take();

    // Removes a request that waited too long or was cancelled; false if it was taken already.
    bool remove(std::uint64_t id);

    std::size_t size() const;
    bool empty() const { return size() == 0; }

private:
    struct Entry {
        std::uint64_t id = 0;
        MonotonicTime since;
    };

    void recordWait(Duration wait);

    QueueOptions m_options;
    const IClock& m_clock;
    std::array<std::deque<Entry>, 2> m_entries;
    std::uint64_t m_lastId = 0;
    MonotonicTime m_intervalEnd;
    Duration m_shortestWait { 0 };
    bool m_standing = false;
};

} // namespace clementinesill::admission
