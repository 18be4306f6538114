#include "control/flapdamping.h"

#include "testing/manualclock.h"
#include "tests/announcedservers.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::control;

// clang-format off
TEST_GROUP(FlapDamping)
{
    ManualClock clock;
    FlapDamping damping { clock, { .halfLife = std::chrono::seconds(30) } };
    AnnouncedServers servers { 6 };

    // Restarts the servers 1 to lastIndex the given number of rounds, at intervals of one second. Applies and returns the due
    // transitions.
    std::vector<schema::ServerTransition> restartServers(int lastIndex, int rounds)
    {
        damping.dueTransitions(servers.registry);
        std::vector<schema::ServerTransition> transitions;
        for (int round = 0; round < rounds; ++round) {
            clock.advance(std::chrono::seconds(1));
            for (int index = 1; index <= lastIndex; ++index)
                servers.announce(index, ++bootId);
            for (const auto& transition : damping.dueTransitions(servers.registry)) {
                servers.registry.transition(transition);
                transitions.push_back(transition);
            }
        }
        return transitions;
    }

    std::uint64_t bootId = 1;
};
// clang-format on

TEST(FlapDamping, DoesNotDampAfterSingleRestart)
{
    CHECK(restartServers(6, 1).empty());
}

TEST(FlapDamping, DampsAndReleasesServerThatRestartsTooOften)
{
    const auto damped = restartServers(1, 4);
    LONGS_EQUAL(1, damped.size());
    LONGS_EQUAL(schema::ServerTransition::KIND_DAMPED, damped.front().kind());
    LONGS_EQUAL(schema::SERVER_STATE_DRAINING, servers.registry.find(1)->server().state());
    clock.advance(std::chrono::seconds(90));
    const auto released = damping.dueTransitions(servers.registry);
    LONGS_EQUAL(1, released.size());
    LONGS_EQUAL(schema::ServerTransition::KIND_RELEASED, released.front().kind());
}

TEST(FlapDamping, DampsAtMostOneThirdOfService)
{
    LONGS_EQUAL(2, restartServers(6, 5).size());
}

TEST(FlapDamping, KeepsServersDampedAfterLeaderChange)
{
    restartServers(1, 4);
    damping.reset();
    CHECK(damping.dueTransitions(servers.registry).empty());
    clock.advance(std::chrono::seconds(90));
    LONGS_EQUAL(1, damping.dueTransitions(servers.registry).size());
}
