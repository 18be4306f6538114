#include "control/internal/failstopstorage.h"

#include "foundation/error.h"
#include "foundation/log.h"

#include <cstdlib>

namespace clementinesill::control {

namespace {

constexpr int exitStorageFailed = 1;

template <typename Write>
void endOnFailure(Write write)
{
    try {
        write();
    } catch (const Error& error) {
        log(LogLevel::Error, "storage_failed", { { .key = "reason", .value = error.what() } });
        std::_Exit(exitStorageFailed);
    }
}

} // namespace

void FailStopStorage::saveVote(const schema::VoteRecord& vote)
{
    endOnFailure([&] { m_storage.saveVote(vote); });
}

void FailStopStorage::append(std::span<const schema::LogEntry> entries)
{
    endOnFailure([&] { m_storage.append(entries); });
}

void FailStopStorage::saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept)
{
    endOnFailure([&] { m_storage.saveSnapshot(snapshot, kept); });
}

} // namespace clementinesill::control
