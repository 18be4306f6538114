#pragma once

#include "control/ilogstorage.h"
#include "foundation/iclock.h"

namespace clementinesill {
class Histogram;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::control {

// Ends the process when a write cannot be made durable; continuing could acknowledge data that would be lost.
class FailStopStorage final : public ILogStorage {
public:
    // Records the duration of each write in the metrics.
    FailStopStorage(ILogStorage& storage, const IClock& clock, MetricsRegistry& metrics);

    // Throws Error (Storage) instead of ending the process, since nothing is served yet.
    StoredLog open() override { return m_storage.open(); }

    void saveVote(const schema::VoteRecord& vote) override;
    void append(std::span<const schema::LogEntry> entries) override;
    void saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept) override;

private:
    template <typename Write>
    void writeTimed(Write write);

    ILogStorage& m_storage;
    const IClock& m_clock;
    Histogram& m_syncTimes;
    bool m_slow = false;
};

} // namespace clementinesill::control
