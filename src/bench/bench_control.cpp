// Cost of the control plane's fleet state, log and tables at several numbers of servers and log entries.
#include "control/fleetstate.h"
#include "control/internal/posixfilesystem.h"
#include "control/istatemachine.h"
#include "control/logstorage.h"
#include "control/replicatedlog.h"
#include "fleet/fleettable.h"
#include "fleet/tabledelta.h"
#include "foundation/seededrandom.h"
#include "testing/manualclock.h"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <filesystem>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

// Servers per service: about the mean of the required 22,000 servers behind 5,200 service addresses.
constexpr int serversPerService = 4;

std::string serviceName(int index)
{
    return "service-" + std::to_string(index / serversPerService);
}

schema::Command announcement(int index, std::uint64_t bootId)
{
    schema::Command command;
    auto& record = *command.mutable_announcement();
    record.set_name("server-" + std::to_string(index));
    record.set_service(serviceName(index));
    record.set_zone("zone-" + std::to_string(index % 15));
    record.set_agent_endpoint("10." + std::to_string(index >> 16) + "." + std::to_string((index >> 8) & 255) + "." + std::to_string(index & 255) + ":7000");
    record.set_weight(1);
    record.set_slots(5);
    record.set_connection_limit(2000);
    record.set_boot_id(bootId);
    return command;
}

void addServers(FleetState& state, int servers)
{
    schema::Command config;
    for (int index = 0; index < servers; index += serversPerService) {
        auto& service = *config.mutable_config()->add_services();
        service.set_name(serviceName(index));
        service.set_address("10.200." + std::to_string(index / serversPerService / 250) + "." + std::to_string(index / serversPerService % 250));
        service.set_port(8080);
    }
    state.apply(config);
    for (int index = 0; index < servers; ++index)
        state.apply(announcement(index, 1));
}

void snapshotOfServers(benchmark::State& state)
{
    FleetState fleet;
    addServers(fleet, static_cast<int>(state.range(0)));
    std::string bytes;
    for (auto _ : state)
        bytes = fleet.snapshot().SerializeAsString();
    state.counters["snapshot_bytes"] = static_cast<double>(bytes.size());
    state.counters["table_bytes"] = static_cast<double>(fleet.table().ByteSizeLong());
}

// One server restarts: applies the command and builds the delta for all daemons.
void restartOfOneServer(benchmark::State& state)
{
    FleetState fleet;
    addServers(fleet, static_cast<int>(state.range(0)));
    std::uint64_t bootId = 1;
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto before = fleet.version();
        fleet.apply(announcement(0, ++bootId));
        bytes = fleet.updateFrom(before)->ByteSizeLong();
    }
    state.counters["delta_bytes"] = static_cast<double>(bytes);
}

// Applies a delta in a daemon and rebuilds its table.
void daemonTakesDelta(benchmark::State& state)
{
    FleetState fleet;
    addServers(fleet, static_cast<int>(state.range(0)));
    auto table = fleet.table();
    std::uint64_t bootId = 1;
    for (auto _ : state) {
        fleet.apply(announcement(0, ++bootId));
        fleet::applyDelta(table, fleet.updateFrom(table.version())->delta());
        benchmark::DoNotOptimize(fleet::FleetTable(table).version());
    }
}

class FleetStateMachine final : public IStateMachine {
public:
    FleetState state;

    void apply(const schema::LogEntry& entry) override
    {
        schema::Command command;
        command.ParseFromString(entry.command());
        state.apply(command);
    }
    std::string snapshot() const override { return state.snapshot().SerializeAsString(); }
    void restore(std::string_view bytes) override
    {
        schema::FleetSnapshot snapshot;
        snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        state.restore(snapshot);
    }
};

// A single-member controller that stores its log in a folder on disk.
struct Controller {
    Controller(const std::string& folder, std::uint64_t snapshotEntries)
        : files(folder)
        , storage(files, random)
        , log({ .name = "one", .endpoint = "one", .peers = { { "one", "one" } }, .snapshotEntries = snapshotEntries }, clock, random, storage, machine)
    {
        log.tick();
    }

    ManualClock clock;
    SeededRandom random { 1 };
    PosixFileSystem files;
    LogStorage storage;
    FleetStateMachine machine;
    ReplicatedLog log;
};

std::string temporaryFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "bench-control-XXXXXX";
    return mkdtemp(pattern.data());
}

// Opens a data folder with the given number of entries, with or without snapshots, and applies all of them.
void restartWithEntries(benchmark::State& state)
{
    constexpr int servers = 1000;
    const auto folder = temporaryFolder();
    const auto snapshotEntries = state.range(1) ? static_cast<std::uint64_t>(state.range(1)) : ~0ULL;
    {
        Controller controller(folder, snapshotEntries);
        for (int entry = 0; entry < state.range(0); ++entry) {
            controller.log.propose(announcement(entry % servers, static_cast<std::uint64_t>(entry) / servers + 1).SerializeAsString());
            if (entry % 100 == 99)
                controller.log.flush();
        }
        controller.log.flush();
    }
    for (auto _ : state) {
        Controller controller(folder, snapshotEntries);
        controller.clock.advance(std::chrono::seconds(3));
        controller.log.tick();
        if (controller.log.commitIndex() < static_cast<std::uint64_t>(state.range(0)))
            state.SkipWithError("entries are missing after the restart");
    }
    std::uintmax_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        bytes += file.file_size();
    state.counters["folder_bytes"] = static_cast<double>(bytes);
    std::filesystem::remove_all(folder);
}

// Appends and syncs one command.
void syncedCommand(benchmark::State& state)
{
    const auto folder = temporaryFolder();
    {
        Controller controller(folder, 4096);
        std::uint64_t bootId = 1;
        for (auto _ : state) {
            controller.log.propose(announcement(0, ++bootId).SerializeAsString());
            controller.log.flush();
        }
    }
    std::filesystem::remove_all(folder);
}

} // namespace

BENCHMARK(snapshotOfServers)->ArgName("servers")->Arg(1000)->Arg(5000)->Arg(22000)->Unit(benchmark::kMillisecond);
BENCHMARK(restartOfOneServer)->ArgName("servers")->Arg(1000)->Arg(5000)->Arg(22000)->Unit(benchmark::kMicrosecond);
BENCHMARK(daemonTakesDelta)->ArgName("servers")->Arg(1000)->Arg(5000)->Arg(22000)->Unit(benchmark::kMillisecond);
BENCHMARK(restartWithEntries)->ArgNames({ "entries", "snapshot_every" })->Args({ 1000, 0 })->Args({ 5000, 0 })->Args({ 10000, 0 })->Args({ 10000, 4096 })->Unit(benchmark::kMillisecond);
BENCHMARK(syncedCommand)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
