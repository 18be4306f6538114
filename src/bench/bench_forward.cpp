// Cost of the balancer's forwarding decision for one packet, and of parsing and encoding its headers.

#include "bench/benchtable.h"
#include "dataplane/genevecodec.h"
#include "dataplane/internal/flowcache.h"
#include "dataplane/internal/forwarder.h"
#include "dataplane/packetparser.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"
#include "fleet/tableholder.h"
#include "foundation/hash.h"

#include <array>
#include <benchmark/benchmark.h>
#include <vector>

using namespace clementinesill;
using namespace clementinesill::dataplane;

namespace {

constexpr std::size_t flowCount = 4096;
constexpr std::size_t cacheEntries = 65536;
// Too few for flowCount flows in rotation: each flow is evicted before its next packet.
constexpr std::size_t minimalCacheEntries = 1;

// Creates one packet to the first service for each of flowCount flows.
std::vector<PacketView> makePackets(std::uint8_t tcpFlags)
{
    std::vector<PacketView> packets(flowCount);
    for (std::size_t flow = 0; flow < flowCount; ++flow) {
        packets[flow].key = { .caller = { .address = 0x0b000000 + static_cast<std::uint32_t>(flow), .port = 4000 }, .service = bench::serviceEndpoint(0) };
        packets[flow].tcpFlags = tcpFlags;
    }
    return packets;
}

// Forwards packets of all flows in rotation. `prepare` may fill the cache first.
template <typename Prepare>
void forwardPackets(benchmark::State& state, std::size_t entries, std::uint8_t tcpFlags, Prepare&& prepare)
{
    const fleet::FleetTable table(bench::makeTable({ .servers = static_cast<std::uint32_t>(state.range(0)) }));
    FlowCache cache(entries);
    Forwarder forwarder(cache);
    const auto packets = makePackets(tcpFlags);
    prepare(forwarder, table, packets);
    std::size_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(forwarder.decide(packets[next++ % flowCount], table));
}

void forwardMiss(benchmark::State& state)
{
    forwardPackets(state, minimalCacheEntries, TcpFlags::ack, [](auto&, const auto&, const auto&) {});
}

void forwardHit(benchmark::State& state)
{
    forwardPackets(state, cacheEntries, TcpFlags::ack, [](auto& forwarder, const auto& table, const auto& packets) {
        for (const auto& packet : packets)
            forwarder.learn({ .key = packet.key, .serverId = 1, .incarnation = 1 }, table);
    });
}

void forwardSyn(benchmark::State& state)
{
    forwardPackets(state, minimalCacheEntries, TcpFlags::syn, [](auto&, const auto&, const auto&) {});
}

void rank(benchmark::State& state)
{
    const fleet::FleetTable table(bench::makeTable({ .servers = static_cast<std::uint32_t>(state.range(0)) }));
    const auto& servers = table.services().front().servers;
    std::uint64_t flowHash = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(fleet::highestRanked(flowHash += 0x9e3779b97f4a7c15, servers, fleet::isRoutable));
}

void hashFlow(benchmark::State& state)
{
    const auto packets = makePackets(0);
    std::size_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(fleet::hash(packets[next++ % flowCount].key, 7));
}

std::vector<std::byte> encodedRoute()
{
    GeneveMessage message;
    message.serviceId = 1;
    message.route = Route { .tableVersion = 1, .serviceId = 1, .serverId = 1, .incarnation = 1 };
    std::vector<std::byte> bytes(maximumGeneveHeaderBytes);
    bytes.resize(encodeGeneveHeader(message, bytes));
    return bytes;
}

void decode(benchmark::State& state)
{
    const auto bytes = encodedRoute();
    GeneveMessage message;
    for (auto _ : state)
        benchmark::DoNotOptimize(decodeGeneve(bytes, message));
}

void encode(benchmark::State& state)
{
    const auto bytes = encodedRoute();
    GeneveMessage message;
    decodeGeneve(bytes, message);
    std::array<std::byte, maximumGeneveHeaderBytes> out;
    for (auto _ : state) {
        benchmark::DoNotOptimize(encodeGeneveHeader(message, out));
        benchmark::ClobberMemory();
    }
}

void parse(benchmark::State& state)
{
    std::array<std::byte, 40> bytes {};
    bytes[0] = std::byte { 0x45 };
    bytes[3] = std::byte { 40 };
    bytes[9] = std::byte { 6 };
    bytes[32] = std::byte { 0x50 };
    PacketView packet;
    for (auto _ : state)
        benchmark::DoNotOptimize(parsePacket(bytes, packet));
}

// Lookups by several workers in a shared flow cache that exceeds the processor's cache.
void cacheFind(benchmark::State& state)
{
    constexpr std::uint64_t flows = 800000;
    static FlowCache cache(1048576);
    if (!state.thread_index()) {
        for (std::uint64_t flow = 0; flow < flows; ++flow)
            cache.store(hash64(flow, 1), { .serverId = 1, .incarnation = 1 });
    }
    std::uint64_t flow = static_cast<std::uint64_t>(state.thread_index()) * flows / 4;
    for (auto _ : state)
        benchmark::DoNotOptimize(cache.find(hash64(flow = (flow + 7919) % flows, 1)));
}

// Loads the current table, as a worker does once per batch. The threads share one holder.
void loadTable(benchmark::State& state)
{
    static const fleet::TableHolder holder;
    for (auto _ : state)
        benchmark::DoNotOptimize(holder.table());
}

void cacheMemory(benchmark::State& state)
{
    for (auto _ : state)
        benchmark::DoNotOptimize(FlowCache::bytesPerEntry());
    state.counters["bytes_a_flow"] = static_cast<double>(FlowCache::bytesPerEntry());
}

} // namespace

BENCHMARK(forwardMiss)->Arg(4)->Arg(16)->Arg(64)->Arg(1024);
BENCHMARK(forwardHit)->Arg(4)->Arg(16)->Arg(64)->Arg(1024);
BENCHMARK(forwardSyn)->Arg(4)->Arg(16)->Arg(64)->Arg(1024);
BENCHMARK(rank)->Arg(4)->Arg(16)->Arg(64)->Arg(256)->Arg(1024);
BENCHMARK(hashFlow);
BENCHMARK(decode);
BENCHMARK(encode);
BENCHMARK(parse);
BENCHMARK(cacheFind)->Threads(1)->Threads(4);
BENCHMARK(loadTable)->Threads(1)->Threads(4);
BENCHMARK(cacheMemory);
BENCHMARK_MAIN();
