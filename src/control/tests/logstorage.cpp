#include "control/logstorage.h"

#include "foundation/error.h"
#include "foundation/seededrandom.h"
#include "tests/fakefilesystem.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

schema::LogEntry entryAt(std::uint64_t index, std::uint64_t term)
{
    schema::LogEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_command("command " + std::to_string(index) + " of term " + std::to_string(term));
    return entry;
}

// What the storage has confirmed to be durable.
struct Expected {
    std::uint64_t identity = 0;
    schema::VoteRecord vote;
    std::uint64_t snapshotIndex = 0;
    std::vector<schema::LogEntry> entries;
};

// Tries a write again until the disk takes it.
template <typename Write>
void retry(Write write)
{
    constexpr int attempts = 100;
    for (int attempt = 1;; ++attempt) {
        try {
            write();
            return;
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::Storage || attempt == attempts)
                throw;
        }
    }
}

// Writes until the power is lost; records each write only after the storage has returned.
void writeHistory(FakeFileSystem& files, IRandom& random, Expected& expected)
{
    LogStorage storage(files, random);
    expected.identity = storage.open().diskIdentity;
    std::uint64_t last = 0;
    for (std::uint64_t round = 1; round <= 6; ++round) {
        schema::VoteRecord vote;
        vote.set_term(round);
        vote.set_voted_for("control-" + std::to_string(round));
        retry([&] { storage.saveVote(vote); });
        expected.vote = vote;
        std::vector<schema::LogEntry> batch;
        // The first entry of round 3 replaces the last one of round 2.
        if (round == 3)
            --last;
        for (int count = 0; count < 3; ++count)
            batch.push_back(entryAt(++last, round));
        retry([&] { storage.append(batch); });
        std::erase_if(expected.entries, [&](const auto& entry) { return entry.index() >= batch.front().index(); });
        expected.entries.insert(expected.entries.end(), batch.begin(), batch.end());
        if (round != 4)
            continue;
        schema::SnapshotRecord snapshot;
        snapshot.set_last_index(last - 2);
        snapshot.set_last_term(round);
        snapshot.set_state("state");
        const std::vector<schema::LogEntry> kept(expected.entries.end() - 4, expected.entries.end());
        retry([&] { storage.saveSnapshot(snapshot, kept); });
        expected.snapshotIndex = last - 2;
        std::erase_if(expected.entries, [&](const auto& entry) { return entry.index() <= last - 2; });
    }
}

bool sameEntry(const schema::LogEntry& left, const schema::LogEntry& right)
{
    return left.SerializeAsString() == right.SerializeAsString();
}

// Whether everything confirmed as durable is present, as an entry or covered by a snapshot that may not be confirmed yet.
bool containsExpected(const StoredLog& stored, const Expected& expected)
{
    if (stored.snapshot.last_index() < expected.snapshotIndex || stored.vote.term() < expected.vote.term())
        return false;
    return std::all_of(expected.entries.begin(), expected.entries.end(), [&](const auto& wanted) {
        return wanted.index() <= stored.snapshot.last_index()
            || std::any_of(stored.entries.begin(), stored.entries.end(), [&](const auto& entry) { return sameEntry(entry, wanted); })
            // Or replaced by a batch that was being written when the power was lost.
            || std::any_of(stored.entries.begin(), stored.entries.end(), [&](const auto& entry) { return entry.index() <= wanted.index() && entry.term() > expected.entries.back().term(); });
    });
}

} // namespace

// clang-format off
TEST_GROUP(LogStorage) {};
// clang-format on

TEST(LogStorage, KeepsDurableDataWhenPowerIsLostAtAnyWrite)
{
    SeededRandom random(1);
    FakeFileSystem intact;
    Expected all;
    writeHistory(intact, random, all);
    const auto writes = intact.writes;
    CHECK(writes > 50);
    for (std::uint64_t powerLossAt = 1; powerLossAt <= writes; ++powerLossAt) {
        for (std::uint64_t seed = 0; seed < 16; ++seed) {
            SeededRandom faultRandom(powerLossAt * 1000 + seed);
            FakeFileSystem files;
            files.powerLossAt = powerLossAt;
            Expected expected;
            try {
                writeHistory(files, faultRandom, expected);
            } catch (const FakeFileSystem::PowerLoss&) {
            }
            files.restartAfterPowerLoss(faultRandom);
            const auto stored = LogStorage(files, faultRandom).open();
            CHECK_TEXT(containsExpected(stored, expected), ("lost after write " + std::to_string(powerLossAt)).c_str());
            if (expected.identity)
                CHECK(stored.diskIdentity == expected.identity);
            // Opening again gives the same content: what was truncated stays truncated.
            const auto reopened = LogStorage(files, faultRandom).open();
            LONGS_EQUAL(stored.entries.size(), reopened.entries.size());
        }
    }
}

TEST(LogStorage, KeepsDurableDataWhenWritesAreRefusedAndPowerIsLost)
{
    SeededRandom random(1);
    FakeFileSystem intact;
    Expected all;
    writeHistory(intact, random, all);
    // The storage is open after the first writes.
    constexpr std::uint64_t firstRefused = 8;
    for (std::uint64_t refusedAt = firstRefused; refusedAt <= intact.writes; ++refusedAt) {
        for (std::uint64_t seed = 0; seed < 16; ++seed) {
            SeededRandom faultRandom(refusedAt * 1000 + seed);
            FakeFileSystem files;
            files.refusedWrites = { refusedAt, refusedAt + 1 + faultRandom.below(6) };
            files.powerLossAt = seed % 4 ? refusedAt + 1 + faultRandom.below(12) : 0;
            Expected expected;
            try {
                writeHistory(files, faultRandom, expected);
            } catch (const FakeFileSystem::PowerLoss&) {
            }
            files.refusedWrites = {};
            files.restartAfterPowerLoss(faultRandom);
            const auto stored = LogStorage(files, faultRandom).open();
            CHECK_TEXT(containsExpected(stored, expected), ("lost after refused write " + std::to_string(refusedAt)).c_str());
            CHECK(stored.diskIdentity == expected.identity);
        }
    }
}

TEST(LogStorage, RemovesRecordOfRefusedWrite)
{
    SeededRandom random(1);
    FakeFileSystem files;
    LogStorage storage(files, random);
    storage.open();
    storage.append(std::vector { entryAt(1, 1) });
    const auto durable = files.content("log");
    files.full = true;
    CHECK_THROWS(Error, storage.append(std::vector { entryAt(2, 1) }));
    files.full = false;
    storage.append(std::vector { entryAt(2, 2) });
    CHECK(files.content("log").starts_with(durable));
    const auto entries = LogStorage(files, random).open().entries;
    LONGS_EQUAL(2, entries.size());
    LONGS_EQUAL(2, entries.back().term());
}

TEST(LogStorage, RecoversAppendAfterTornTail)
{
    SeededRandom random(1);
    FakeFileSystem files;
    {
        LogStorage storage(files, random);
        storage.open();
        storage.append(std::vector { entryAt(1, 1) });
    }
    files.content("log").append("torn");
    {
        LogStorage storage(files, random);
        LONGS_EQUAL(1, storage.open().entries.size());
        storage.append(std::vector { entryAt(2, 1) });
    }
    LONGS_EQUAL(2, LogStorage(files, random).open().entries.size());
}

TEST(LogStorage, RejectsDamageBeforeValidRecordsWithRemedy)
{
    SeededRandom random(1);
    FakeFileSystem files;
    LogStorage storage(files, random);
    storage.open();
    storage.append(std::vector { entryAt(1, 1) });
    const auto damaged = files.content("log").size() - 3;
    storage.append(std::vector { entryAt(2, 1) });
    files.content("log")[damaged] ^= 1;
    try {
        LogStorage(files, random).open();
        FAIL("a damaged record was ignored");
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::Storage);
        CHECK(error.remedy().find("empty the data folder") != std::string::npos);
    }
}

TEST(LogStorage, RejectsDamagedSnapshot)
{
    SeededRandom random(1);
    FakeFileSystem files;
    LogStorage storage(files, random);
    storage.open();
    schema::SnapshotRecord snapshot;
    snapshot.set_last_index(1);
    snapshot.set_state("state");
    storage.saveSnapshot(snapshot, {});
    files.content("snapshot").back() ^= 1;
    CHECK_THROWS(Error, LogStorage(files, random).open());
}

TEST(LogStorage, RejectsFilesWithoutIdentity)
{
    SeededRandom random(1);
    FakeFileSystem files;
    LogStorage(files, random).open();
    files.remove("identity");
    CHECK_THROWS(Error, LogStorage(files, random).open());
}
