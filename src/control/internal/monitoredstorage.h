#pragma once

#include "control/ilogstorage.h"
#include "foundation/iclock.h"

#include <atomic>

namespace clementinesill {
class Error;
class Histogram;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::control {

// Measures the writes of another storage, and logs when they begin to fail or to be slow, while they keep failing, and when they
// no longer do.
class MonitoredStorage final : public ILogStorage {
public:
    MonitoredStorage(ILogStorage& storage, const IClock& clock, MetricsRegistry& metrics);

    StoredLog open() override { return m_storage.open(); }
    void saveVote(const schema::VoteRecord& vote) override;
    void append(std::span<const schema::LogEntry> entries) override;
    void saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept) override;

    // Whether the last write failed. May be called from any thread.
    bool isFailing() const { return m_failing; }

private:
    template <typename Write>
    void writeTimed(const char* operation, Write write);
    void recordDuration(Duration elapsed);
    void recordFailure(const char* operation, const Error& error);

    ILogStorage& m_storage;
    const IClock& m_clock;
    MetricsRegistry& m_metrics;
    Histogram& m_syncTimes;
    bool m_slow = false;
    MonotonicTime m_failingSince;
    MonotonicTime m_lastFailureReport;
    std::atomic<bool> m_failing = false;
};

} // namespace clementinesill::control
