#include "control/internal/posixfilesystem.h"
#include "control/istatemachine.h"
#include "control/logstorage.h"
#include "control/replicatedlog.h"
#include "foundation/seededrandom.h"
#include "testing/manualclock.h"
#include "tests/temporaryfolder.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <string>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

// Resources of a controller in the users' deployments.
constexpr std::size_t diskBytes = 128 << 20;
constexpr std::size_t memoryBytes = 256 << 20;

// State that consists of the last command, as a configuration that is replaced as a whole.
class LastCommand final : public IStateMachine {
public:
    void apply(const schema::LogEntry& entry) override
    {
        if (!entry.membership() && !entry.command().empty())
            m_command = entry.command();
    }

    std::string snapshot() const override { return m_command; }
    void restore(std::string_view snapshot) override { m_command = snapshot; }

    const std::string& command() const { return m_command; }

private:
    std::string m_command;
};

std::size_t folderBytes(const std::string& folder)
{
    std::size_t sum = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        sum += file.file_size();
    return sum;
}

} // namespace

// clang-format off
TEST_GROUP(LogSize) {};
// clang-format on

TEST(LogSize, HundredsOfChangesOfLargeConfigurationDoNotExhaustDiskOrMemory)
{
    constexpr int changes = 900;
    constexpr std::size_t configurationBytes = 200 << 10;
    const ReplicatedLogOptions options { .name = "control-1", .endpoint = "control-1" };
    ManualClock clock;
    SeededRandom random(1);
    TemporaryFolder folder;
    std::string last;
    {
        PosixFileSystem files(folder.path());
        LogStorage storage(files, random);
        LastCommand machine;
        ReplicatedLog log(options, clock, random, storage, machine);
        log.tick();
        CHECK(log.hasValidLease());
        for (int change = 1; change <= changes; ++change) {
            last = std::to_string(change) + std::string(configurationBytes, 'x');
            CHECK(log.propose(last).index > 0);
            log.flush();
            // Files are replaced by new ones, which need the same space again.
            CHECK(folderBytes(folder.path()) < diskBytes / 2);
            CHECK(log.entries().commandBytes() < memoryBytes / 8);
        }
        CHECK(machine.command() == last);
    }
    PosixFileSystem files(folder.path());
    LogStorage storage(files, random);
    LastCommand machine;
    ReplicatedLog log(options, clock, random, storage, machine);
    log.tick();
    CHECK(machine.command() == last);
    CHECK(log.entries().commandBytes() < memoryBytes / 8);
}
