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
// Interval at which a storage that keeps failing is logged again.
constexpr auto failureReportInterval = std::chrono::seconds(5);

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

MonitoredStorage::MonitoredStorage(ILogStorage& storage, const IClock& clock, MetricsRegistry& metrics)
    : m_storage(storage)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_syncTimes(metrics.histogram("log_sync_seconds"))
{
    metrics.describe("storage_failing", "1 while the disk refuses writes, so that this controller acknowledges nothing");
    metrics.describe("storage_failures_total", "writes that the disk refused, by operation: vote, append, snapshot");
    metrics.addGauge("storage_failing", {}, [this] { return m_failing ? 1.0 : 0.0; });
}

template <typename Write>
void MonitoredStorage::writeTimed(const char* operation, Write write)
{
    const auto startTime = m_clock.now();
    try {
        write();
    } catch (const Error& error) {
        recordFailure(operation, error);
        throw;
    }
    if (m_failing.exchange(false))
        log(LogLevel::Info, "storage_recovered", { { .key = "operation", .value = operation }, { .key = "failing_ms", .value = milliseconds(m_clock.now() - m_failingSince) } });
    recordDuration(m_clock.now() - startTime);
}

void MonitoredStorage::recordFailure(const char* operation, const Error& error)
{
    ++m_metrics.counter("storage_failures_total", { { "operation", operation } });
    const auto now = m_clock.now();
    const bool wasFailing = m_failing.exchange(true);
    if (!wasFailing)
        m_failingSince = now;
    else if (now - m_lastFailureReport < failureReportInterval)
        return;
    m_lastFailureReport = now;
    log(LogLevel::Error, wasFailing ? "storage_still_failing" : "storage_failed", { { .key = "operation", .value = operation }, { .key = "failing_ms", .value = milliseconds(now - m_failingSince) }, { .key = logkey::reason, .value = error.problem() }, { .key = logkey::remedy, .value = error.remedy() } });
}

void MonitoredStorage::recordDuration(Duration elapsed)
{
    m_syncTimes.record(std::chrono::duration<double>(elapsed).count());
    const bool slow = elapsed > slowWriteThreshold;
    if (std::exchange(m_slow, slow) == slow)
        return;
    log(slow ? LogLevel::Warn : LogLevel::Info, slow ? "disk_slow" : "disk_recovered", { { .key = "took_ms", .value = milliseconds(elapsed) } });
}

void MonitoredStorage::saveVote(const schema::VoteRecord& vote)
{
    writeTimed("vote", [&] { m_storage.saveVote(vote); });
}

void MonitoredStorage::append(std::span<const schema::LogEntry> entries)
{
    writeTimed("append", [&] { m_storage.append(entries); });
}

void MonitoredStorage::saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept)
{
    writeTimed("snapshot", [&] { m_storage.saveSnapshot(snapshot, kept); });
}

} // namespace clementinesill::control
