#include "agent/internal/flowtable.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::agent;

namespace {

fleet::FlowKey key(std::uint32_t caller)
{
    return { .caller = { .address = caller, .port = 1 }, .service = { .address = 1, .port = 80 } };
}

} // namespace

// clang-format off
TEST_GROUP(FlowTable)
{
    ManualClock clock;
    FlowTable flows;

    FlowEntry& open(std::uint32_t caller) { return flows.insert(key(caller), { .lastActivity = clock.now() }); }
};
// clang-format on

TEST(FlowTable, EvictsOldestHalfOpenFlow)
{
    open(1);
    open(2);
    open(3);
    flows.setState(key(1), FlowState::Established);
    const auto evicted = flows.evictOldestHalfOpen();
    CHECK(evicted.has_value());
    CHECK(evicted->key == key(2));
    CHECK(flows.find(key(1)) && !flows.find(key(2)) && flows.find(key(3)));
}

TEST(FlowTable, ReplacedFlowIsOrderedByItsLastInsertion)
{
    open(1);
    open(2);
    open(1);
    CHECK(flows.evictOldestHalfOpen()->key == key(2));
}

TEST(FlowTable, ServedFlowsDoNotExpire)
{
    open(1);
    flows.setState(key(1), FlowState::Established);
    flows.find(key(1))->served = true;
    clock.advance(std::chrono::hours(5));
    LONGS_EQUAL(0, flows.expire(clock.now()).size());
}

TEST(FlowTable, UnservedEstablishedFlowExpiresHoldingAdmission)
{
    open(1);
    flows.setState(key(1), FlowState::Established);
    clock.advance(FlowTable::halfOpenTimeout);
    const auto removed = flows.expire(clock.now());
    LONGS_EQUAL(1, removed.size());
    CHECK(removed.front().holdsAdmission());
}

TEST(FlowTable, ClosingFlowExpiresWithoutAdmission)
{
    open(1);
    flows.find(key(1))->served = true;
    flows.setState(key(1), FlowState::Closing);
    clock.advance(FlowTable::halfOpenTimeout);
    LONGS_EQUAL(0, flows.expire(clock.now()).size());
    clock.advance(FlowTable::closingTimeout);
    const auto removed = flows.expire(clock.now());
    LONGS_EQUAL(1, removed.size());
    CHECK(!removed.front().holdsAdmission());
}

TEST(FlowTable, CountsMatchEntries)
{
    CHECK(rc::check("counts match the entries after any operations", [] {
        FlowTable flows;
        const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(rc::gen::arbitrary<std::pair<std::uint8_t, std::uint8_t>>());
        for (const auto& [operation, caller] : steps) {
            const auto flow = key(caller % 8);
            if (operation % 5 == 0)
                flows.insert(flow, {});
            else if (operation % 5 == 1)
                flows.setState(flow, FlowState::Established);
            else if (operation % 5 == 2)
                flows.setState(flow, FlowState::Closing);
            else if (operation % 5 == 3)
                flows.erase(flow);
            else
                flows.evictOldestHalfOpen();
        }
        std::size_t open = 0;
        std::size_t halfOpen = 0;
        flows.forEach([&](const auto&, const auto& entry) {
            open += entry.state != FlowState::Closing;
            halfOpen += entry.state == FlowState::HalfOpen;
        });
        RC_ASSERT(flows.openFlowCount() == open);
        RC_ASSERT(flows.halfOpenFlowCount() == halfOpen);
    }));
}
