#pragma once

#include "control/ilogstorage.h"
#include "foundation/iclock.h"

namespace clementinesill {
class Histogram;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::control {

// Ends the process when something cannot be made durable: to go on might acknowledge what would be lost.
class FailStopStorage final : public ILogStorage {
public:
    // The time that each write takes goes to the metrics.
    FailStopStorage(ILogStorage& storage, const IClock& clock, MetricsRegistry& metrics);

    // Throws Error (Storage), since nothing is served yet.
    StoredLog open() override { return m_storage.open(); }

    void saveVote(const schema::VoteRecord& vote) override;
    void append(std::span<const schema::LogEntry> entries) override;
    void saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept) override;

private:
    template <typename Write>
    void timed(Write write);

    ILogStorage& m_storage;
    const IClock& m_clock;
    Histogram& m_syncTimes;
    bool m_slow = false;
};

} // namespace clementinesill::control
