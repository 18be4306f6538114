#pragma once

#include "agent/imisslog.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace clementinesill::agent {

// Miss log of bounded size; when it is full, the run that started first is forgotten.
class MissLog final : public IMissLog {
public:
    // A run of misses ends if none is added for this long; TCP repeats a segment every 120 s at least.
    static constexpr std::chrono::seconds runTimeout { 130 };

    explicit MissLog(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    MonotonicTime note(const fleet::FlowKey& key, std::uint32_t sequence, MonotonicTime now) override;
    void forget(const fleet::FlowKey& key) override { m_runs.erase(key); }

    std::size_t size() const { return m_runs.size(); }

private:
    struct Run {
        MonotonicTime first;
        MonotonicTime last;
        std::uint32_t sequence = 0;
        std::uint64_t id = 0;
    };
    struct Start {
        fleet::FlowKey key;
        std::uint64_t id = 0;
    };

    void makeRoom();

    std::size_t m_capacity;
    std::unordered_map<fleet::FlowKey, Run> m_runs;
    // Runs in the order of their start; some have ended.
    std::deque<Start> m_starts;
    std::uint64_t m_lastId = 0;
};

} // namespace clementinesill::agent
