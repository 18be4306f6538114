#pragma once

#include "fleet/itablesource.h"

#include <atomic>

namespace clementinesill::fleet {

// Holds the newest fleet table and never replaces it by an older version. Thread-safe.
class TableHolder final : public ITableSource {
public:
    TableHolder();
    ~TableHolder() override;

    // Returns false and keeps the current table if the given one is not newer.
    bool replaceIfNewer(const std::shared_ptr<const FleetTable>& table);

    std::shared_ptr<const FleetTable> table() const override;
    MonotonicTime confirmedAt() const override { return m_confirmedAt.load(); }
    MonotonicTime leaderConfirmedAt() const override { return m_leaderConfirmedAt.load(); }
    void recordSeenVersion(std::uint64_t version) override;
    std::uint64_t highestVersionSeen() const override { return m_highestSeen.load(); }

    // Records that a controller that was up to date reported the version as the newest at the time `at`; ignored if it is not
    // the version of the current table. The recorded time never decreases.
    void confirm(std::uint64_t version, MonotonicTime at);

    // Records that the leader reported the version as the newest in response to a request sent at `requestedAt`. Confirms the
    // current table unless it is older.
    void confirmByLeader(std::uint64_t version, MonotonicTime requestedAt);

private:
    std::atomic<std::shared_ptr<const FleetTable>> m_table;
    std::atomic<std::uint64_t> m_highestSeen { 0 };
    std::atomic<MonotonicTime> m_confirmedAt { MonotonicTime() };
    std::atomic<MonotonicTime> m_leaderConfirmedAt { MonotonicTime() };
};

} // namespace clementinesill::fleet
