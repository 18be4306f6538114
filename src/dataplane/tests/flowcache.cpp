#include "dataplane/internal/flowcache.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>
#include <thread>
#include <vector>

using namespace clementinesill::dataplane;

namespace {

constexpr std::uint64_t ways = 7;
constexpr std::uint64_t sets = 4;

// Expected entries of one set, most recently used first.
using SetModel = std::vector<std::pair<std::uint64_t, CachedServer>>;

void moveToFront(SetModel& model, std::uint64_t hash, const CachedServer& server)
{
    std::erase_if(model, [&](const auto& entry) { return entry.first == hash; });
    model.insert(model.begin(), { hash, server });
    if (model.size() > ways)
        model.pop_back();
}

} // namespace

// clang-format off
TEST_GROUP(FlowCache) {};
// clang-format on

TEST(FlowCache, EvictsLeastRecentlyUsedEntryOfSet)
{
    CHECK(rc::check("behaves like a list ordered by last use", [] {
        FlowCache cache(ways * sets);
        RC_ASSERT(cache.capacity() == ways * sets);
        std::array<SetModel, sets> models;
        for (std::uint32_t step = 0; step < 200; ++step) {
            const auto hash = *rc::gen::inRange<std::uint64_t>(0, 12 * sets);
            auto& model = models[hash % sets];
            const auto entry = std::find_if(model.begin(), model.end(), [&](const auto& item) { return item.first == hash; });
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                cache.erase(hash);
                std::erase_if(model, [&](const auto& item) { return item.first == hash; });
                break;
            case 1: {
                const auto expected = entry == model.end() ? std::nullopt : std::optional(entry->second);
                RC_ASSERT(cache.find(hash) == expected);
                if (expected)
                    moveToFront(model, hash, *expected);
                break;
            }
            default:
                cache.store(hash, { .serverId = step, .incarnation = 1 });
                moveToFront(model, hash, { .serverId = step, .incarnation = 1 });
            }
        }
    }));
}

TEST(FlowCache, LimitsCapacityAndMemoryPerEntry)
{
    FlowCache cache(1000);
    for (std::uint64_t hash = 0; hash < 100000; ++hash)
        cache.store(hash * 0x9e3779b97f4a7c15, { .serverId = 1, .incarnation = 1 });
    std::size_t found = 0;
    for (std::uint64_t hash = 0; hash < 100000; ++hash)
        found += cache.find(hash * 0x9e3779b97f4a7c15).has_value();
    CHECK(found <= cache.capacity());
    CHECK(cache.capacity() >= 1000 && cache.capacity() < 2000 + ways);
    CHECK(FlowCache::bytesPerEntry() <= 64);
}

// Each thread stores entries whose server id and incarnation are related, so an entry that is mixed from two stores is
// detected.
TEST(FlowCache, ReturnsNoTornEntriesUnderConcurrency)
{
    FlowCache cache(ways);
    std::atomic<int> tornEntries { 0 };
    std::vector<std::thread> threads;
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        threads.emplace_back([&, seed] {
            for (std::uint32_t step = 0; step < 50000; ++step) {
                const std::uint32_t hash = step * seed % 11;
                cache.store(hash, { .serverId = hash + 11 * seed, .incarnation = hash + 22 * seed });
                const auto entry = cache.find(hash);
                tornEntries += entry && (entry->serverId % 11 != hash || entry->incarnation - hash != 2 * (entry->serverId - hash));
                if (!(step % 16))
                    cache.erase(hash);
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    LONGS_EQUAL(0, tornEntries.load());
}
