#include "agent/servingstate.h"

#include "agent/tests/routedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(ServingState)
{
    RoutedFleet fleet;
    ServingState state { 1, "zone1" };

    void setup() override
    {
        fleet.join(1);
        fleet.join(2);
        state.update(*fleet.newest());
    }
};
// clang-format on

TEST(ServingState, TellsEachChangeOnce)
{
    fleet.setZoneOut("zone1", true);
    CHECK(state.update(*fleet.newest()).zoneLeft);
    CHECK_FALSE(state.update(*fleet.newest()).zoneLeft);
    CHECK(state.zoneOut());
    fleet.setZoneOut("zone1", false);
    CHECK(state.update(*fleet.newest()).zoneReturned);
    fleet.setDraining(1, true);
    CHECK(state.update(*fleet.newest()).drainStarted);
    fleet.setDraining(1, false);
    CHECK(state.update(*fleet.newest()).drainEnded);
}

TEST(ServingState, OthersChangesAreNotItsOwn)
{
    fleet.setZoneOut("zone2", true);
    fleet.setDraining(2, true);
    const auto change = state.update(*fleet.newest());
    CHECK_FALSE(change.zoneLeft || change.drainStarted);
}

TEST(ServingState, AnOlderTableChangesNothing)
{
    const auto before = fleet.newest();
    fleet.setZoneOut("zone1", true);
    state.update(*fleet.newest());
    CHECK_FALSE(state.update(*before).zoneReturned);
    CHECK(state.zoneOut());
}

TEST(ServingState, AServerThatIsNotListedHearsOfItsZoneAndKeepsItsDrain)
{
    fleet.setDraining(1, true);
    state.update(*fleet.newest());
    fleet.remove(1);
    CHECK_FALSE(state.update(*fleet.newest()).drainEnded);
    fleet.setZoneOut("zone1", true);
    CHECK(state.update(*fleet.newest()).zoneLeft);
}
