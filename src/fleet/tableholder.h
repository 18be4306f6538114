#pragma once

#include "fleet/itablesource.h"

#include <atomic>

namespace clementinesill::fleet {

// Holds the newest table and never goes back to an older version. Thread-safe.
class TableHolder final : public ITableSource {
public:
    TableHolder();
    ~TableHolder() override;

    // False if the table is not newer than the one held, which then stays.
    bool offer(const std::shared_ptr<const FleetTable>& table);

    std::shared_ptr<const FleetTable> table() const override;
    MonotonicTime confirmedAt() const override { return m_confirmedAt.load(); }
    MonotonicTime leaderConfirmedAt() const override { return m_leaderConfirmedAt.load(); }
    void noteNewerVersion(std::uint64_t version) override;

    // Tells that a controller with a live lease named the version as the newest at the time; ignored if it is not the one
    // held. Times never go back.
    void confirm(std::uint64_t version, MonotonicTime at);

    // Tells that the leader, asked at this time, named the version as the newest; ignored if the one held is older.
    void confirmByLeader(std::uint64_t version, MonotonicTime asked);

    // Highest version heard of, from controllers or peers.
    std::uint64_t highestVersionSeen() const { return m_highestSeen.load(); }

private:
    std::atomic<std::shared_ptr<const FleetTable>> m_table;
    std::atomic<std::uint64_t> m_highestSeen { 0 };
    std::atomic<MonotonicTime> m_confirmedAt { MonotonicTime() };
    std::atomic<MonotonicTime> m_leaderConfirmedAt { MonotonicTime() };
};

} // namespace clementinesill::fleet
