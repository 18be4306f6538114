// Compares algorithms that choose a server of a large service: cost, memory, load balance, and flows that move when one
// server is removed.
//
// The balancer ranks all servers with rendezvous hashing (plainRank) and caches the result. The other algorithms are here for
// comparison only.

#include "bench/benchreport.h"
#include "bench/benchtable.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"
#include "foundation/hash.h"
#include "foundation/systemclock.h"

#include <algorithm>
#include <cmath>
#include <cxxopts.hpp>
#include <functional>
#include <vector>

using namespace clementinesill;

namespace {

using Servers = std::vector<fleet::ServerEntry>;

// Returns the id of the server for a flow hash.
using ServerChooser = std::function<std::uint32_t(std::uint64_t)>;

// A selection algorithm that is set up for one set of servers, with the size of its precomputed data.
struct Selector {
    ServerChooser choose;
    double memoryBytes = 0;
};

Selector plainRank(const Servers& servers)
{
    return { .choose = [&servers](std::uint64_t flowHash) { return fleet::highestRanked(flowHash, servers, fleet::isRoutable)->id; } };
}

// Rendezvous hashing over groups of servers, each weighted by its number of servers, and then within the chosen group.
Selector twoLevelRank(const Servers& servers)
{
    constexpr std::uint32_t groupCount = 32;
    std::vector<Servers> groupServers(groupCount);
    for (const auto& server : servers)
        groupServers[hash64(server.id, 1) % groupCount].push_back(server);
    Servers groupEntries;
    for (std::uint32_t group = 0; group < groupCount; ++group) {
        if (!groupServers[group].empty())
            groupEntries.push_back({ .id = group, .weight = static_cast<std::uint32_t>(groupServers[group].size()) });
    }
    const double bytes = static_cast<double>((servers.size() + groupEntries.size()) * sizeof(fleet::ServerEntry));
    return { .choose = [groupEntries, groupServers](std::uint64_t flowHash) {
                const auto group = fleet::highestRanked(hash64(flowHash, 2), groupEntries, fleet::isRoutable)->id;
                return fleet::highestRanked(flowHash, groupServers[group], fleet::isRoutable)->id;
            },
        .memoryBytes = bytes };
}

// Rendezvous hashing, precomputed for a fixed number of hash buckets.
Selector bucketRank(const Servers& servers)
{
    constexpr std::size_t bucketCount = 65536;
    std::vector<std::uint32_t> table(bucketCount);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
        table[bucket] = fleet::highestRanked(hash64(bucket, 3), servers, fleet::isRoutable)->id;
    return { .choose = [table](std::uint64_t flowHash) { return table[flowHash % bucketCount]; }, .memoryBytes = bucketCount * sizeof(std::uint32_t) };
}

// Maglev lookup table: the servers take turns, and each claims the next free entry of its own permutation.
Selector maglevTable(const Servers& servers)
{
    constexpr std::size_t tableEntries = 65537;
    std::vector<std::uint32_t> table(tableEntries);
    std::vector<std::size_t> next(servers.size());
    std::size_t filledEntries = 0;
    for (std::size_t serverIndex = 0; filledEntries < tableEntries; serverIndex = (serverIndex + 1) % servers.size()) {
        const auto id = servers[serverIndex].id;
        const auto offset = hash64(id, 4) % tableEntries;
        const auto skip = hash64(id, 5) % (tableEntries - 1) + 1;
        auto entry = (offset + next[serverIndex] * skip) % tableEntries;
        while (table[entry]) {
            ++next[serverIndex];
            entry = (offset + next[serverIndex] * skip) % tableEntries;
        }
        table[entry] = id;
        ++next[serverIndex];
        ++filledEntries;
    }
    return { .choose = [table](std::uint64_t flowHash) { return table[flowHash % tableEntries]; }, .memoryBytes = tableEntries * sizeof(std::uint32_t) };
}

// Hashes of consecutive numbers, as from callers with consecutive addresses.
std::vector<std::uint64_t> flowHashes(std::size_t count)
{
    std::vector<std::uint64_t> hashes(count);
    for (std::size_t flow = 0; flow < count; ++flow)
        hashes[flow] = hash64(flow, 6);
    return hashes;
}

std::vector<std::uint32_t> chooseServers(const Selector& selector, const std::vector<std::uint64_t>& hashes)
{
    std::vector<std::uint32_t> chosen(hashes.size());
    std::transform(hashes.begin(), hashes.end(), chosen.begin(), selector.choose);
    return chosen;
}

// Highest number of flows on one server, divided by the mean.
double imbalance(const std::vector<std::uint32_t>& chosen, std::size_t servers)
{
    std::vector<double> flows(servers + 1);
    for (const auto id : chosen)
        ++flows[id];
    return *std::max_element(flows.begin(), flows.end()) * static_cast<double>(servers) / static_cast<double>(chosen.size());
}

void measure(bench::BenchReport& report, const std::string& name, Selector (*makeSelector)(const Servers&), std::uint32_t serverCount, std::size_t repetitions)
{
    constexpr std::size_t flows = 50000;
    const fleet::FleetTable table(bench::makeTable({ .servers = serverCount }));
    const auto& servers = table.services().front().servers;
    auto remainingServers = servers;
    const auto removedId = remainingServers[serverCount / 2].id;
    remainingServers.erase(remainingServers.begin() + serverCount / 2);
    const auto hashes = flowHashes(flows);
    const SystemClock clock;
    const auto prefix = name + "_" + std::to_string(serverCount) + "/";
    std::vector<double> build;
    std::vector<double> decision;
    std::vector<std::uint32_t> before;
    for (std::size_t repetition = 0; repetition < repetitions; ++repetition) {
        const auto start = clock.now();
        const auto selector = makeSelector(servers);
        const auto built = clock.now();
        before = chooseServers(selector, hashes);
        decision.push_back(std::chrono::duration<double, std::nano>(clock.now() - built).count() / flows);
        build.push_back(std::chrono::duration<double, std::milli>(built - start).count());
    }
    const auto after = chooseServers(makeSelector(remainingServers), hashes);
    std::size_t moved = 0;
    for (std::size_t flow = 0; flow < flows; ++flow)
        moved += before[flow] != after[flow] && before[flow] != removedId;
    report.figure(prefix + "decision", "ns", decision);
    report.figure(prefix + "build", "ms", build);
    report.figure(prefix + "memory", "bytes", { makeSelector(servers).memoryBytes });
    report.figure(prefix + "imbalance", "ratio", { imbalance(before, serverCount) });
    report.figure(prefix + "moved_beyond_need", "flows", { static_cast<double>(moved) });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("bench_rank", "Compares algorithms that choose a server of a large service.");
    usage.add_options()("repetitions", "repetitions", cxxopts::value<std::size_t>()->default_value("3"));
    usage.add_options()("json", "file to write; standard output if not given", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = usage.parse(argc, argv);
    const auto repetitions = arguments["repetitions"].as<std::size_t>();
    bench::BenchReport report;
    report.parameter("repetitions", repetitions);
    for (const std::uint32_t serverCount : { 256, 1024 }) {
        measure(report, "plain", plainRank, serverCount, repetitions);
        measure(report, "two_level", twoLevelRank, serverCount, repetitions);
        measure(report, "bucket", bucketRank, serverCount, repetitions);
        measure(report, "maglev", maglevTable, serverCount, repetitions);
    }
    report.write(arguments["json"].as<std::string>());
}
