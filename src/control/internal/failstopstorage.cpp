#include "control/internal/failstopstorage.h"

#include "foundation/error.h"
#include "foundation/histogram.h"
#include "foundation/log.h"
#include "foundation/metrics.h"

#include <cstdlib>
#include <utility>

namespace clementinesill::control {

namespace {

constexpr int exitStorageFailed = 1;

// A sync normally takes one to a few milliseconds; one this slow indicates a stalled disk.
constexpr auto slowWriteThreshold = std::chrono::milliseconds(200);

} // namespace

FailStopStorage::FailStopStorage(ILogStorage& storage, const IClock& clock, MetricsRegistry& metrics)
    : m_storage(storage)
    , m_clock(clock)
    , m_syncTimes(metrics.histogram("log_sync_seconds"))
{
}

template <typename Write>
void FailStopStorage::writeTimed(Write write)
{
    const auto startTime = m_clock.now();
    try {
        write();
    } catch (const Error& error) {
        log(LogLevel::Error, "storage_failed", { { .key = logkey::reason, .value = error.problem() }, { .key = logkey::remedy, .value = error.remedy() } });
        std::_Exit(exitStorageFailed);
    }
    const auto elapsed = m_clock.now() - startTime;
    m_syncTimes.record(std::chrono::duration<double>(elapsed).count());
    const bool slow = elapsed > slowWriteThreshold;
    if (std::exchange(m_slow, slow) == slow)
        return;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    log(slow ? LogLevel::Warn : LogLevel::Info, slow ? "disk_slow" : "disk_recovered", { { .key = "took_ms", .value = std::to_string(milliseconds) } });
}

void FailStopStorage::saveVote(const schema::VoteRecord& vote)
{
    writeTimed([&] { m_storage.saveVote(vote); });
}

void FailStopStorage::append(std::span<const schema::LogEntry> entries)
{
    writeTimed([&] { m_storage.append(entries); });
}

void FailStopStorage::saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept)
{
    writeTimed([&] { m_storage.saveSnapshot(snapshot, kept); });
}

} // namespace clementinesill::control
