// Memory of a daemon's table and time to build it at several sizes; docs/CAPACITY.md derives its estimates from these figures.

#include "bench/benchreport.h"
#include "bench/benchtable.h"
#include "dataplane/internal/flowcache.h"
#include "fleet/fleettable.h"
#include "foundation/systemclock.h"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <functional>
#include <malloc.h>
#include <memory>

using namespace clementinesill;

namespace {

// Bytes that the process has allocated, including large blocks that malloc maps directly.
double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// Returns one measured value per repetition.
template <typename Work>
std::vector<double> repeat(std::size_t repetitions, Work&& work)
{
    std::vector<double> values;
    for (std::size_t repetition = 0; repetition < repetitions; ++repetition)
        values.push_back(work());
    return values;
}

template <typename Work>
double milliseconds(Work&& work)
{
    const SystemClock clock;
    const auto start = clock.now();
    work();
    return std::chrono::duration<double, std::milli>(clock.now() - start).count();
}

// Replaces servers of the table by those of the delta, as a daemon does with its current table.
void applyServers(schema::Table& table, const schema::TableDelta& delta)
{
    table.set_version(delta.to_version());
    for (const auto& changed : delta.servers()) {
        auto* const servers = table.mutable_servers();
        const auto existing = std::find_if(servers->begin(), servers->end(), [&](const auto& server) { return server.id() == changed.id(); });
        if (existing != servers->end())
            *existing = changed;
    }
}

void measureTable(bench::BenchReport& report, const bench::TableSize& size, std::size_t repetitions)
{
    const auto prefix = std::to_string(size.services) + "_services_" + std::to_string(size.servers) + "_servers/";
    const auto records = bench::makeTable(size);
    const auto bytes = records.SerializeAsString();
    report.figure(prefix + "wire_bytes", "bytes", { static_cast<double>(bytes.size()) });
    report.figure(prefix + "records_memory", "bytes", repeat(repetitions, [&] {
        const auto before = allocatedBytes();
        const auto copy = std::make_unique<schema::Table>(records);
        return allocatedBytes() - before;
    }));
    report.figure(prefix + "table_memory", "bytes", repeat(repetitions, [&] {
        const auto before = allocatedBytes();
        const auto table = std::make_unique<const fleet::FleetTable>(records);
        return allocatedBytes() - before;
    }));
    report.figure(prefix + "parse", "ms", repeat(repetitions, [&] {
        schema::Table parsed;
        return milliseconds([&] { parsed.ParseFromString(bytes); });
    }));
    report.figure(prefix + "build", "ms", repeat(repetitions, [&] {
        std::unique_ptr<const fleet::FleetTable> table;
        return milliseconds([&] { table = std::make_unique<const fleet::FleetTable>(records); });
    }));
    schema::TableDelta delta;
    delta.set_to_version(2);
    *delta.add_servers() = records.servers(records.servers_size() / 2);
    delta.mutable_servers(0)->set_state(schema::SERVER_STATE_DRAINING);
    report.figure(prefix + "delta_wire_bytes", "bytes", { static_cast<double>(delta.ByteSizeLong()) });
    report.figure(prefix + "delta_and_build", "ms", repeat(repetitions, [&] {
        auto daemonTable = records;
        std::unique_ptr<const fleet::FleetTable> table;
        return milliseconds([&] {
            applyServers(daemonTable, delta);
            table = std::make_unique<const fleet::FleetTable>(daemonTable);
        });
    }));
}

void measureCache(bench::BenchReport& report, std::size_t entries)
{
    const auto before = allocatedBytes();
    const dataplane::FlowCache cache(entries);
    const auto bytes = allocatedBytes() - before;
    report.figure("cache_" + std::to_string(entries) + "/bytes_a_flow", "bytes", { bytes / static_cast<double>(cache.capacity()) });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("bench_table", "Measures the memory and build time of a daemon's table.");
    usage.add_options()("repetitions", "repetitions", cxxopts::value<std::size_t>()->default_value("7"));
    usage.add_options()("json", "file to write; standard output if not given", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = usage.parse(argc, argv);
    const auto repetitions = arguments["repetitions"].as<std::size_t>();
    constexpr std::array sizes {
        std::pair { 2U, 10U },
        std::pair { 520U, 2200U },
        std::pair { 1300U, 5500U },
        std::pair { 2600U, 11000U },
        std::pair { 5200U, 22000U },
        std::pair { 1U, 22000U },
        std::pair { 5200U, 5200U },
    };
    bench::BenchReport report;
    report.parameter("repetitions", repetitions);
    for (const auto& [services, servers] : sizes)
        measureTable(report, { .services = services, .servers = servers }, repetitions);
    for (const std::size_t entries : { 65536, 1048576 })
        measureCache(report, entries);
    report.write(arguments["json"].as<std::string>());
}
