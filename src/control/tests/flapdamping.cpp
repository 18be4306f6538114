#include "control/flapdamping.h"

#include "testing/manualclock.h"
#include "tests/servertransitions.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::control;

// clang-format off
TEST_GROUP(FlapDamping)
{
    ManualClock clock;
    FlapDamping damping { clock, { .halfLife = std::chrono::seconds(30) } };
    AnnouncedServers servers { 6 };

    // Restarts the servers up to the last the number of times, a second apart; returns and applies what is due.
    std::vector<schema::ServerTransition> restart(int last, int times)
    {
        damping.due(servers.registry);
        std::vector<schema::ServerTransition> all;
        for (int time = 0; time < times; ++time) {
            clock.advance(std::chrono::seconds(1));
            for (int index = 1; index <= last; ++index)
                servers.announce(index, ++bootId);
            for (const auto& transition : damping.due(servers.registry)) {
                servers.registry.transition(transition);
                all.push_back(transition);
            }
        }
        return all;
    }

    std::uint64_t bootId = 1;
};
// clang-format on

TEST(FlapDamping, OnePlannedRestartIsNotDamped)
{
    CHECK(restart(6, 1).empty());
}

TEST(FlapDamping, ServerThatRestartsTooOftenIsDampedAndReleased)
{
    const auto damped = restart(1, 4);
    LONGS_EQUAL(1, damped.size());
    LONGS_EQUAL(schema::ServerTransition::KIND_DAMPED, damped.front().kind());
    LONGS_EQUAL(schema::SERVER_STATE_DRAINING, servers.registry.find(1)->server().state());
    clock.advance(std::chrono::seconds(90));
    const auto released = damping.due(servers.registry);
    LONGS_EQUAL(1, released.size());
    LONGS_EQUAL(schema::ServerTransition::KIND_RELEASED, released.front().kind());
}

TEST(FlapDamping, AtMostAThirdOfAServiceIsDamped)
{
    LONGS_EQUAL(2, restart(6, 5).size());
}

TEST(FlapDamping, NewLeaderKeepsDampedServersDamped)
{
    restart(1, 4);
    damping.restart();
    CHECK(damping.due(servers.registry).empty());
    clock.advance(std::chrono::seconds(90));
    LONGS_EQUAL(1, damping.due(servers.registry).size());
}
