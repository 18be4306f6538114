#include "control/internal/fleetstatemachine.h"

#include "control/fleetstate.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

schema::LogEntry zoneEntry(std::uint64_t index, const std::string& zone)
{
    schema::Command command;
    command.mutable_zone()->set_zone(zone);
    command.mutable_zone()->set_state(schema::ZONE_STATE_OUT);
    command.mutable_zone()->set_create(true);
    schema::LogEntry entry;
    entry.set_index(index);
    entry.set_command(command.SerializeAsString());
    return entry;
}

} // namespace

// clang-format off
TEST_GROUP(FleetStateMachine) {};
// clang-format on

TEST(FleetStateMachine, EntryThatCannotBeParsedIsSkipped)
{
    FleetState state;
    std::vector<schema::Outcome::Code> outcomes;
    FleetStateMachine machine(state, [&](std::uint64_t, std::uint64_t, const CommandResult& result) { outcomes.push_back(result.code); });
    machine.apply(zoneEntry(1, "\xff"));
    schema::LogEntry garbage;
    garbage.set_index(2);
    garbage.set_command("not a command");
    machine.apply(garbage);
    machine.apply(zoneEntry(3, "krk-a"));
    LONGS_EQUAL(3, outcomes.size());
    CHECK(outcomes[0] == schema::Outcome::CODE_INVALID);
    CHECK(outcomes[1] == schema::Outcome::CODE_INVALID);
    CHECK(outcomes[2] == schema::Outcome::CODE_OK);
    LONGS_EQUAL(1, state.zones().size());
}
