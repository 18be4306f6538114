#include "control/leasetracker.h"

#include "testing/manualclock.h"
#include "tests/servertransitions.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::control;

// clang-format off
TEST_GROUP(LeaseTracker)
{
    ManualClock clock;
    LeaseTracker leases { clock, { .lease = std::chrono::seconds(3), .expiryLeases = 5 } };
    AnnouncedServers servers { 8 };

    void renewFrom(std::uint32_t first)
    {
        for (std::uint32_t id = first; id <= 8; ++id)
            leases.renewed(servers.renewal(id));
    }
};
// clang-format on

TEST(LeaseTracker, ServerThatDoesNotRenewIsSilentThenExpired)
{
    leases.due(servers.registry);
    clock.advance(std::chrono::seconds(4));
    renewFrom(2);
    const auto silent = leases.due(servers.registry);
    LONGS_EQUAL(1, silent.size());
    LONGS_EQUAL(1, silent.front().server_id());
    LONGS_EQUAL(schema::ServerTransition::KIND_SILENT, silent.front().kind());
    servers.registry.transition(silent.front());
    CHECK(leases.due(servers.registry).empty());
    clock.advance(std::chrono::seconds(12));
    renewFrom(2);
    const auto expired = leases.due(servers.registry);
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(schema::ServerTransition::KIND_EXPIRED, expired.front().kind());
}

TEST(LeaseTracker, SilenceOfMostServersIsHeldBackForAWhile)
{
    leases.due(servers.registry);
    clock.advance(std::chrono::seconds(4));
    renewFrom(6);
    CHECK(leases.due(servers.registry).empty());
    CHECK(leases.heldBack());
    clock.advance(std::chrono::seconds(11));
    renewFrom(6);
    LONGS_EQUAL(5, leases.due(servers.registry).size());
    CHECK_FALSE(leases.heldBack());
}

TEST(LeaseTracker, SilenceOfAllServersIsHeldBackForGood)
{
    leases.due(servers.registry);
    clock.advance(std::chrono::hours(1));
    CHECK(leases.due(servers.registry).empty());
    CHECK(leases.heldBack());
    renewFrom(5);
    LONGS_EQUAL(4, leases.due(servers.registry).size());
}

TEST(LeaseTracker, NewLeaderAndNewStartGiveAWholeLease)
{
    leases.due(servers.registry);
    clock.advance(std::chrono::seconds(2));
    renewFrom(2);
    servers.announce(1, 2);
    clock.advance(std::chrono::seconds(2));
    CHECK(leases.due(servers.registry).empty());
    clock.advance(std::chrono::seconds(60));
    leases.restart();
    CHECK(leases.due(servers.registry).empty());
    CHECK_FALSE(leases.heldBack());
}
