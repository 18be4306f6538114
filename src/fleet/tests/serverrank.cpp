#include "fleet/serverrank.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <rapidcheck.h>
#include <vector>

using namespace clementinesill::fleet;

// clang-format off
TEST_GROUP(ServerRank) {};
// clang-format on

TEST(ServerRank, RemovingServerKeepsOrderOfOthers)
{
    CHECK(rc::check("removing a server keeps the order of the others", [](std::uint64_t flowHash) {
        const auto count = *rc::gen::inRange<std::size_t>(2, 32);
        std::vector<ServerEntry> servers(count);
        for (std::size_t index = 0; index < count; ++index) {
            servers[index].id = static_cast<std::uint32_t>(index + 1);
            servers[index].weight = *rc::gen::inRange<std::uint32_t>(1, 10);
        }
        std::vector<std::uint16_t> ranked(count);
        RC_ASSERT(rankServers(flowHash, servers, ranked) == count);
        const auto removed = *rc::gen::inRange<std::size_t>(0, count);
        std::vector<std::uint32_t> expected;
        for (const auto index : ranked) {
            if (index != removed)
                expected.push_back(servers[index].id);
        }
        servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(removed));
        std::vector<std::uint16_t> remaining(servers.size());
        rankServers(flowHash, servers, remaining);
        std::vector<std::uint32_t> actual;
        for (const auto index : remaining)
            actual.push_back(servers[index].id);
        RC_ASSERT(actual == expected);
    }));
}

TEST(ServerRank, HighestRankedAgreesWithRankServers)
{
    CHECK(rc::check("highestRanked finds the first ranked server that passes", [](std::uint64_t flowHash) {
        std::vector<ServerEntry> servers(*rc::gen::inRange<std::size_t>(0, 40));
        for (std::size_t index = 0; index < servers.size(); ++index) {
            servers[index].id = static_cast<std::uint32_t>(index + 1);
            servers[index].weight = *rc::gen::inRange<std::uint32_t>(1, 5);
            servers[index].draining = *rc::gen::arbitrary<bool>();
        }
        std::vector<std::uint16_t> ranked(servers.size());
        rankServers(flowHash, servers, ranked);
        const auto expected = std::find_if(ranked.begin(), ranked.end(), [&](auto index) { return acceptsNewFlows(servers[index]); });
        RC_ASSERT(highestRanked(flowHash, servers, acceptsNewFlows) == (expected == ranked.end() ? nullptr : &servers[*expected]));
    }));
}

// Each server's share of the flows must be proportional to its weight, within five standard deviations of the binomial
// distribution. The callers' addresses are consecutive, as in real networks.
TEST(ServerRank, FlowSharesAreProportionalToWeights)
{
    CHECK(rc::check("binomial bounds", [](std::uint64_t seed) {
        constexpr std::uint32_t flows = 10000;
        constexpr double deviations = 5;
        std::vector<ServerEntry> servers(*rc::gen::inRange<std::size_t>(2, 24));
        double totalWeight = 0;
        for (std::size_t index = 0; index < servers.size(); ++index) {
            servers[index].id = static_cast<std::uint32_t>(index + 1);
            servers[index].weight = *rc::gen::inRange<std::uint32_t>(1, 10);
            totalWeight += servers[index].weight;
        }
        std::vector<std::uint32_t> flowCounts(servers.size() + 1);
        for (std::uint32_t flow = 0; flow < flows; ++flow) {
            const FlowKey key { .caller = { .address = 0x0a000000 + flow, .port = 4000 }, .service = { .address = 1, .port = 80 } };
            ++flowCounts[highestRanked(hash(key, seed), servers, isRoutable)->id];
        }
        for (const auto& server : servers) {
            const double share = server.weight / totalWeight;
            const double bound = deviations * std::sqrt(flows * share * (1 - share));
            RC_ASSERT(std::abs(flowCounts[server.id] - flows * share) <= bound);
        }
    }));
}
