#pragma once

#include "agent/imisslog.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace clementinesill::agent {

// Miss log of bounded size. When it is full, the streak that started first is evicted.
class MissLog final : public IMissLog {
public:
    // A streak ends after this time without a miss. TCP's retransmission timeout is at most 120 s.
    static constexpr std::chrono::seconds streakTimeout { 130 };

    explicit MissLog(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    MonotonicTime recordMiss(const fleet::FlowKey& key, std::uint32_t sequence, MonotonicTime now) override;
    void clearMisses(const fleet::FlowKey& key) override { m_streaks.erase(key); }

    std::size_t size() const { return m_streaks.size(); }

private:
    struct Streak {
        MonotonicTime first;
        MonotonicTime last;
        std::uint32_t sequence = 0;
        std::uint64_t id = 0;
    };
    struct StreakStart {
        fleet::FlowKey key;
        std::uint64_t id = 0;
    };

    void evictOldestStreaks();

    std::size_t m_capacity;
    std::unordered_map<fleet::FlowKey, Streak> m_streaks;
    // Oldest first; may contain streaks that have ended.
    std::deque<StreakStart> m_streakOrder;
    std::uint64_t m_lastId = 0;
};

} // namespace clementinesill::agent
