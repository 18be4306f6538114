#include "agent/servingstate.h"

#include "agent/tests/simulatedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(ServingState)
{
    SimulatedFleet fleet;
    ServingState state { 1, "zone1" };

    void setup() override
    {
        fleet.addServer(1);
        fleet.addServer(2);
        state.update(*fleet.latestTable());
    }
};
// clang-format on

TEST(ServingState, ReportsEachChangeOnce)
{
    fleet.setZoneOut("zone1", true);
    CHECK(state.update(*fleet.latestTable()).zoneTakenOut);
    CHECK_FALSE(state.update(*fleet.latestTable()).zoneTakenOut);
    CHECK(state.zoneOut());
    fleet.setZoneOut("zone1", false);
    CHECK(state.update(*fleet.latestTable()).zoneReturned);
    fleet.setDraining(1, true);
    CHECK(state.update(*fleet.latestTable()).drainStarted);
    fleet.setDraining(1, false);
    CHECK(state.update(*fleet.latestTable()).drainEnded);
}

TEST(ServingState, IgnoresChangesOfOtherServersAndZones)
{
    fleet.setZoneOut("zone2", true);
    fleet.setDraining(2, true);
    const auto change = state.update(*fleet.latestTable());
    CHECK_FALSE(change.zoneTakenOut || change.drainStarted);
}

TEST(ServingState, IgnoresOlderTable)
{
    const auto before = fleet.latestTable();
    fleet.setZoneOut("zone1", true);
    state.update(*fleet.latestTable());
    CHECK_FALSE(state.update(*before).zoneReturned);
    CHECK(state.zoneOut());
}

TEST(ServingState, UnlistedServerKeepsDrainingAndReportsZoneChange)
{
    fleet.setDraining(1, true);
    state.update(*fleet.latestTable());
    fleet.remove(1);
    CHECK_FALSE(state.update(*fleet.latestTable()).drainEnded);
    fleet.setZoneOut("zone1", true);
    CHECK(state.update(*fleet.latestTable()).zoneTakenOut);
}
