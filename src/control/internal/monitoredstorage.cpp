#include "control/internal/monitoredstorage.h"

#include "foundation/error.h"
#include "foundation/histogram.h"
#include "foundation/log.h"
#include "foundation/metrics.h"

#include <utility>

namespace clementinesill::control {

namespace {

// A sync normally takes one to a few milliseconds; one this slow indicates a stalled disk.
constexpr auto slowWriteThreshold = std::chrono::milliseconds(200);

} // namespace

MonitoredStorage::MonitoredStorage(ILogStorage& storage, const IClock& clock, MetricsRegistry& metrics)
    : m_storage(storage)
    , m_clock(clock)
    , m_syncTimes(metrics.histogram("log_sync_seconds"))
{
    metrics.describe("storage_failing", "1 while the disk refuses writes, so that this controller acknowledges nothing");
    metrics.addGauge("storage_failing", {}, [this] { return m_failing ? 1.0 : 0.0; });
}

template <typename Write>
void MonitoredStorage::writeTimed(Write write)
{
    const auto startTime = m_clock.now();
    try {
        write();
    } catch (const Error& error) {
        if (!m_failing.exchange(true))
            log(LogLevel::Error, "storage_failed", { { .key = logkey::reason, .value = error.problem() }, { .key = logkey::remedy, .value = error.remedy() } });
        throw;
    }
    if (m_failing.exchange(false))
        log(LogLevel::Info, "storage_recovered");
    recordDuration(m_clock.now() - startTime);
}

void MonitoredStorage::recordDuration(Duration elapsed)
{
    m_syncTimes.record(std::chrono::duration<double>(elapsed).count());
    const bool slow = elapsed > slowWriteThreshold;
    if (std::exchange(m_slow, slow) == slow)
        return;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    log(slow ? LogLevel::Warn : LogLevel::Info, slow ? "disk_slow" : "disk_recovered", { { .key = "took_ms", .value = std::to_string(milliseconds) } });
}

void MonitoredStorage::saveVote(const schema::VoteRecord& vote)
{
    writeTimed([&] { m_storage.saveVote(vote); });
}

void MonitoredStorage::append(std::span<const schema::LogEntry> entries)
{
    writeTimed([&] { m_storage.append(entries); });
}

void MonitoredStorage::saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept)
{
    writeTimed([&] { m_storage.saveSnapshot(snapshot, kept); });
}

} // namespace clementinesill::control
