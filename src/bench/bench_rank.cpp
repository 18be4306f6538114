// Ways to choose a server of a large service, side by side: cost, memory, balance, and flows moved when one server goes.
//
// The product ranks plainly and remembers the answer; the others are here to be weighed against it.

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

// Chooses a server's id for a flow hash.
using Choose = std::function<std::uint32_t(std::uint64_t)>;

// A way, made for one set of servers, with the memory in bytes of what it precomputed.
struct Way {
    Choose choose;
    double memoryBytes = 0;
};

Way plainRank(const Servers& servers)
{
    return { .choose = [&servers](std::uint64_t flowHash) { return fleet::highestRanked(flowHash, servers, fleet::isRoutable)->id; } };
}

// Rendezvous over groups of servers by their weights' sums, then within the group.
Way twoLevelRank(const Servers& servers)
{
    constexpr std::uint32_t groups = 32;
    std::vector<Servers> members(groups);
    for (const auto& server : servers)
        members[hash64(server.id, 1) % groups].push_back(server);
    Servers heads;
    for (std::uint32_t group = 0; group < groups; ++group) {
        if (!members[group].empty())
            heads.push_back({ .id = group, .weight = static_cast<std::uint32_t>(members[group].size()) });
    }
    const double bytes = static_cast<double>((servers.size() + heads.size()) * sizeof(fleet::ServerEntry));
    return { .choose = [heads, members](std::uint64_t flowHash) {
                const auto group = fleet::highestRanked(hash64(flowHash, 2), heads, fleet::isRoutable)->id;
                return fleet::highestRanked(flowHash, members[group], fleet::isRoutable)->id;
            },
        .memoryBytes = bytes };
}

// Rendezvous for each of a fixed number of buckets, precomputed.
Way bucketRank(const Servers& servers)
{
    constexpr std::size_t buckets = 65536;
    std::vector<std::uint32_t> table(buckets);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket)
        table[bucket] = fleet::highestRanked(hash64(bucket, 3), servers, fleet::isRoutable)->id;
    return { .choose = [table](std::uint64_t flowHash) { return table[flowHash % buckets]; }, .memoryBytes = buckets * sizeof(std::uint32_t) };
}

// Maglev's table: each server claims free places in an order of its own, one place a turn.
Way maglevTable(const Servers& servers)
{
    constexpr std::size_t places = 65537;
    std::vector<std::uint32_t> table(places);
    std::vector<std::size_t> next(servers.size());
    std::size_t filled = 0;
    for (std::size_t turn = 0; filled < places; turn = (turn + 1) % servers.size()) {
        const auto id = servers[turn].id;
        const auto offset = hash64(id, 4) % places;
        const auto skip = hash64(id, 5) % (places - 1) + 1;
        auto place = (offset + next[turn] * skip) % places;
        while (table[place]) {
            ++next[turn];
            place = (offset + next[turn] * skip) % places;
        }
        table[place] = id;
        ++next[turn];
        ++filled;
    }
    return { .choose = [table](std::uint64_t flowHash) { return table[flowHash % places]; }, .memoryBytes = places * sizeof(std::uint32_t) };
}

// Flow hashes as callers that count up give them.
std::vector<std::uint64_t> flowHashes(std::size_t count)
{
    std::vector<std::uint64_t> hashes(count);
    for (std::size_t flow = 0; flow < count; ++flow)
        hashes[flow] = hash64(flow, 6);
    return hashes;
}

std::vector<std::uint32_t> choices(const Way& way, const std::vector<std::uint64_t>& hashes)
{
    std::vector<std::uint32_t> chosen(hashes.size());
    std::transform(hashes.begin(), hashes.end(), chosen.begin(), way.choose);
    return chosen;
}

// Greatest number of flows on one server over the mean.
double imbalance(const std::vector<std::uint32_t>& chosen, std::size_t servers)
{
    std::vector<double> flows(servers + 1);
    for (const auto id : chosen)
        ++flows[id];
    return *std::max_element(flows.begin(), flows.end()) * static_cast<double>(servers) / static_cast<double>(chosen.size());
}

void measure(bench::BenchReport& report, const std::string& name, Way (*make)(const Servers&), std::uint32_t count, std::size_t repetitions)
{
    constexpr std::size_t flows = 50000;
    const fleet::FleetTable table(bench::makeTable({ .servers = count }));
    const auto& servers = table.services().front().servers;
    auto fewer = servers;
    const auto gone = fewer[count / 2].id;
    fewer.erase(fewer.begin() + count / 2);
    const auto hashes = flowHashes(flows);
    const SystemClock clock;
    const auto prefix = name + "_" + std::to_string(count) + "/";
    std::vector<double> build;
    std::vector<double> decision;
    std::vector<std::uint32_t> before;
    for (std::size_t repetition = 0; repetition < repetitions; ++repetition) {
        const auto start = clock.now();
        const auto way = make(servers);
        const auto built = clock.now();
        before = choices(way, hashes);
        decision.push_back(std::chrono::duration<double, std::nano>(clock.now() - built).count() / flows);
        build.push_back(std::chrono::duration<double, std::milli>(built - start).count());
    }
    const auto after = choices(make(fewer), hashes);
    std::size_t moved = 0;
    for (std::size_t flow = 0; flow < flows; ++flow)
        moved += before[flow] != after[flow] && before[flow] != gone;
    report.figure(prefix + "decision", "ns", decision);
    report.figure(prefix + "build", "ms", build);
    report.figure(prefix + "memory", "bytes", { make(servers).memoryBytes });
    report.figure(prefix + "imbalance", "ratio", { imbalance(before, count) });
    report.figure(prefix + "moved_beyond_need", "flows", { static_cast<double>(moved) });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("bench_rank", "Weighs ways to choose a server of a large service.");
    usage.add_options()("repetitions", "repetitions", cxxopts::value<std::size_t>()->default_value("3"));
    usage.add_options()("json", "file to write; standard output if not given", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = usage.parse(argc, argv);
    const auto repetitions = arguments["repetitions"].as<std::size_t>();
    bench::BenchReport report;
    report.parameter("repetitions", repetitions);
    for (const std::uint32_t count : { 256, 1024 }) {
        measure(report, "plain", plainRank, count, repetitions);
        measure(report, "two_level", twoLevelRank, count, repetitions);
        measure(report, "bucket", bucketRank, count, repetitions);
        measure(report, "maglev", maglevTable, count, repetitions);
    }
    report.write(arguments["json"].as<std::string>());
}
