#include "control/leasetracker.h"

#include "testing/manualclock.h"
#include "tests/announcedservers.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::control;

// clang-format off
TEST_GROUP(LeaseTracker)
{
    ManualClock clock;
    LeaseTracker leases { clock, { .lease = std::chrono::seconds(3), .expiryLeases = 5 } };
    AnnouncedServers servers { 8 };

    void renewServersFrom(std::uint32_t first)
    {
        for (std::uint32_t id = first; id <= 8; ++id)
            leases.recordRenewal(servers.renewalRequest(id));
    }
};
// clang-format on

TEST(LeaseTracker, ServerWithoutRenewalBecomesSilentThenExpires)
{
    leases.dueTransitions(servers.registry);
    clock.advance(std::chrono::seconds(4));
    renewServersFrom(2);
    const auto silent = leases.dueTransitions(servers.registry);
    LONGS_EQUAL(1, silent.size());
    LONGS_EQUAL(1, silent.front().server_id());
    LONGS_EQUAL(schema::ServerTransition::KIND_SILENT, silent.front().kind());
    servers.registry.transition(silent.front());
    CHECK(leases.dueTransitions(servers.registry).empty());
    clock.advance(std::chrono::seconds(12));
    renewServersFrom(2);
    const auto expired = leases.dueTransitions(servers.registry);
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(schema::ServerTransition::KIND_EXPIRED, expired.front().kind());
}

TEST(LeaseTracker, SuppressesTransitionsTemporarilyWhenMostServersAreSilent)
{
    leases.dueTransitions(servers.registry);
    clock.advance(std::chrono::seconds(4));
    renewServersFrom(6);
    CHECK(leases.dueTransitions(servers.registry).empty());
    CHECK(leases.transitionsSuppressed());
    clock.advance(std::chrono::seconds(11));
    renewServersFrom(6);
    LONGS_EQUAL(5, leases.dueTransitions(servers.registry).size());
    CHECK_FALSE(leases.transitionsSuppressed());
}

TEST(LeaseTracker, SuppressesTransitionsWhileAllServersAreSilent)
{
    leases.dueTransitions(servers.registry);
    clock.advance(std::chrono::hours(1));
    CHECK(leases.dueTransitions(servers.registry).empty());
    CHECK(leases.transitionsSuppressed());
    renewServersFrom(5);
    LONGS_EQUAL(4, leases.dueTransitions(servers.registry).size());
}

TEST(LeaseTracker, GivesFullLeaseAfterLeaderChangeAndAfterAgentRestart)
{
    leases.dueTransitions(servers.registry);
    clock.advance(std::chrono::seconds(2));
    renewServersFrom(2);
    servers.announce(1, 2);
    clock.advance(std::chrono::seconds(2));
    CHECK(leases.dueTransitions(servers.registry).empty());
    clock.advance(std::chrono::seconds(60));
    leases.reset();
    CHECK(leases.dueTransitions(servers.registry).empty());
    CHECK_FALSE(leases.transitionsSuppressed());
}
