#include "control/internal/posixfilesystem.h"
#include "control/logstorage.h"
#include "foundation/seededrandom.h"
#include "tests/refusingfilesystem.h"
#include "tests/temporaryfolder.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

schema::LogEntry entryAt(std::uint64_t index)
{
    schema::LogEntry entry;
    entry.set_index(index);
    entry.set_term(1);
    entry.set_command("command " + std::to_string(index));
    return entry;
}

schema::VoteRecord voteOf(std::uint64_t term)
{
    schema::VoteRecord vote;
    vote.set_term(term);
    vote.set_voted_for("control-" + std::to_string(term));
    return vote;
}

// Storage in a real folder, whose operations are refused for a while.
class RefusedStorage {
public:
    // The operations from the first number on are refused, as many as given.
    RefusedStorage(std::uint64_t seed, std::uint64_t firstRefused, std::uint64_t refusedCount)
        : m_random(seed)
        , m_refusing(m_files, m_random)
        , m_refusedCount(refusedCount)
    {
        m_refusing.refusedOperations = { firstRefused, firstRefused + refusedCount };
    }

    // Writes of each kind; each must succeed as soon as the disk accepts operations again.
    void writeAll()
    {
        // A controller that cannot open its storage ends and is started again.
        performUntilAccepted([this] {
            m_storage = std::make_unique<LogStorage>(m_refusing, m_random);
            m_identity = m_storage->open().diskIdentity;
        });
        std::vector<schema::LogEntry> held;
        const auto append = [&](std::uint64_t index) {
            held.push_back(entryAt(index));
            performUntilAccepted([&] { m_storage->append(std::span(held).last(1)); });
        };
        performUntilAccepted([&] { m_storage->saveVote(voteOf(1)); });
        append(1);
        append(2);
        append(3);
        performUntilAccepted([&] { m_storage->saveVote(voteOf(2)); });
        schema::SnapshotRecord snapshot;
        snapshot.set_last_index(2);
        snapshot.set_last_term(1);
        held.erase(held.begin());
        performUntilAccepted([&] { m_storage->saveSnapshot(snapshot, held); });
        append(4);
        performUntilAccepted([&] { m_storage->saveVote(voteOf(3)); });
        append(5);
    }

    void checkStored()
    {
        const auto stored = LogStorage(m_files, m_random).open();
        CHECK(m_identity == stored.diskIdentity);
        LONGS_EQUAL(3, stored.vote.term());
        LONGS_EQUAL(2, stored.snapshot.last_index());
        LONGS_EQUAL(3, stored.entries.size());
        for (std::size_t position = 0; position < stored.entries.size(); ++position)
            STRCMP_EQUAL(entryAt(position + 3).SerializeAsString().c_str(), stored.entries[position].SerializeAsString().c_str());
    }

    std::uint64_t operations() const { return m_refusing.operations; }

private:
    // Each refused attempt takes at least one refused operation, so the attempt after the last of them must succeed.
    void performUntilAccepted(const std::function<void()>& write)
    {
        for (std::uint64_t attempt = 0; attempt <= m_refusedCount; ++attempt) {
            try {
                write();
                return;
            } catch (const Error& error) {
                CHECK(error.kind() == ErrorKind::Storage);
            }
        }
        FAIL("the storage still refuses writes although the disk accepts them");
    }

    TemporaryFolder m_folder;
    PosixFileSystem m_files { m_folder.path() };
    SeededRandom m_random;
    RefusingFileSystem m_refusing;
    std::uint64_t m_refusedCount;
    std::unique_ptr<LogStorage> m_storage;
    std::uint64_t m_identity = 0;
};

} // namespace

// clang-format off
TEST_GROUP(RefusedWrites) {};
// clang-format on

TEST(RefusedWrites, StorageAcceptsWritesAgainAfterAnyOperationWasRefused)
{
    RefusedStorage accepted(1, 0, 0);
    accepted.writeAll();
    accepted.checkStored();
    for (std::uint64_t firstRefused = 0; firstRefused < accepted.operations(); ++firstRefused) {
        for (const std::uint64_t refusedCount : { 1, 2, 7 }) {
            for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                RefusedStorage storage(seed, firstRefused, refusedCount);
                storage.writeAll();
                storage.checkStored();
            }
        }
    }
}
