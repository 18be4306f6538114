#include "control/fleetstate.h"

#include "fleet/tabledelta.h"

#include <CppUTest/TestHarness.h>
#include <google/protobuf/util/message_differencer.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

schema::Command configCommand(const std::string& requestId, std::uint64_t baseRevision, std::initializer_list<const char*> services)
{
    schema::Command command;
    command.set_request_id(requestId);
    command.set_base_revision(baseRevision);
    command.set_fingerprint(baseRevision * 1000 + services.size());
    auto& file = *command.mutable_config()->add_files();
    file.set_name("10-services.json");
    std::uint32_t port = 8000;
    for (const auto* name : services) {
        auto& service = *command.mutable_config()->add_services();
        service.set_name(name);
        service.set_address("127.0.0.1");
        service.set_port(port++);
        file.set_content(file.content() + name + " ");
    }
    return command;
}

schema::Command announceCommand(const std::string& name, std::uint64_t bootId, const std::string& endpoint, const std::string& service = "desk")
{
    schema::Command command;
    auto& record = *command.mutable_announcement();
    record.set_name(name);
    record.set_service(service);
    record.set_zone("mandaue");
    record.set_agent_endpoint(endpoint);
    record.set_boot_id(bootId);
    return command;
}

} // namespace

// clang-format off
TEST_GROUP(FleetState)
{
    FleetState state;

    void setup() override
    {
        state.apply(configCommand("first", 0, { "desk", "gallery" }));
    }
};
// clang-format on

TEST(FleetState, RetriedRequestGetsFirstResponseAndIsAppliedOnce)
{
    const auto command = configCommand("second", 1, { "desk" });
    const auto first = state.apply(command);
    state.apply(configCommand("third", 2, { "desk", "other" }));
    const auto retried = state.apply(command);
    LONGS_EQUAL(schema::Outcome::CODE_OK, retried.code);
    LONGS_EQUAL(first.revision, retried.revision);
    LONGS_EQUAL(first.version, retried.version);
    LONGS_EQUAL(3, state.revision());
}

TEST(FleetState, RejectsReusedRequestIdWithDifferentChange)
{
    LONGS_EQUAL(schema::Outcome::CODE_INVALID, state.apply(configCommand("first", 1, { "desk" })).code);
    LONGS_EQUAL(1, state.revision());
}

TEST(FleetState, SecondChangeFromSameRevisionConflictsAndNamesFile)
{
    LONGS_EQUAL(schema::Outcome::CODE_OK, state.apply(configCommand("a", 1, { "desk" })).code);
    const auto result = state.apply(configCommand("b", 1, { "gallery" }));
    LONGS_EQUAL(schema::Outcome::CODE_CONFLICT, result.code);
    CHECK(result.message.find("10-services.json") != std::string::npos);
    LONGS_EQUAL(2, state.revision());
}

TEST(FleetState, AgentRestartIncrementsIncarnationAndRejectsReplacedBootId)
{
    const auto first = state.apply(announceCommand("desk-1", 11, "127.0.0.1:21001"));
    const auto second = state.apply(announceCommand("desk-1", 12, "127.0.0.1:21001"));
    LONGS_EQUAL(first.serverId, second.serverId);
    LONGS_EQUAL(first.incarnation + 1, second.incarnation);
    LONGS_EQUAL(schema::Outcome::CODE_CONFLICT, state.apply(announceCommand("desk-1", 11, "127.0.0.1:21001")).code);
    LONGS_EQUAL(second.incarnation, state.server(second.serverId)->server().incarnation());
}

// Guards against a controller that is restored from a snapshot and uses a server again that has left or was replaced, or applies a
// change again that was answered before.
TEST(FleetState, RestoredStateKeepsRemovedServersAndAppliedRequests)
{
    const auto replaced = announceCommand("desk-1", 11, "127.0.0.1:21001");
    state.apply(replaced);
    state.apply(announceCommand("desk-1", 12, "127.0.0.1:21001"));
    const auto left = state.apply(announceCommand("desk-2", 21, "127.0.0.1:21002"));
    schema::Command leave;
    leave.mutable_leave()->set_server_id(left.serverId);
    leave.mutable_leave()->set_incarnation(left.incarnation);
    state.apply(leave);
    const auto change = configCommand("second", 1, { "desk" });
    state.apply(change);
    state.apply(configCommand("third", 2, { "desk", "gallery", "other" }));

    FleetState restored;
    restored.restore(state.snapshot());
    LONGS_EQUAL(state.version(), restored.version());
    LONGS_EQUAL(schema::Outcome::CODE_CONFLICT, restored.apply(replaced).code);
    CHECK(restored.server(left.serverId)->removed());
    LONGS_EQUAL(1, restored.table().servers_size());
    LONGS_EQUAL(schema::Outcome::CODE_OK, restored.apply(change).code);
    LONGS_EQUAL(3, restored.revision());
    LONGS_EQUAL(3, restored.table().services_size());
}

TEST(FleetState, RepeatedAnnouncementHasNoEffect)
{
    state.apply(announceCommand("desk-1", 11, "127.0.0.1:21001"));
    const auto version = state.version();
    state.apply(announceCommand("desk-1", 11, "127.0.0.1:21001"));
    LONGS_EQUAL(version, state.version());
}

TEST(FleetState, AnnouncementDisplacesServerWithSameEndpoint)
{
    const auto desk = state.apply(announceCommand("desk-1", 11, "127.0.0.1:21001"));
    state.apply(announceCommand("gallery-1", 21, "127.0.0.1:21001", "gallery"));
    CHECK(state.server(desk.serverId)->removed());
    LONGS_EQUAL(1, state.table().servers_size());
}

TEST(FleetState, ConfigChangeDoesNotReturnZoneToService)
{
    const auto applyWithZone = [&](const std::string& requestId, std::initializer_list<const char*> services) {
        auto config = configCommand(requestId, state.revision(), services);
        config.mutable_config()->add_zones()->set_name("mandaue");
        return state.apply(config).code;
    };
    state.apply(announceCommand("desk-1", 11, "127.0.0.1:21001"));
    schema::Command out;
    out.set_request_id("out");
    out.mutable_zone()->set_zone("mandaue");
    out.mutable_zone()->set_state(schema::ZONE_STATE_OUT);
    LONGS_EQUAL(schema::Outcome::CODE_OK, state.apply(out).code);
    LONGS_EQUAL(schema::Outcome::CODE_OK, applyWithZone("add zone", { "desk" }));
    LONGS_EQUAL(schema::ZONE_STATE_OUT, state.zones().at("mandaue").state());
    LONGS_EQUAL(schema::Outcome::CODE_OK, applyWithZone("keep zone", { "desk", "gallery" }));
    LONGS_EQUAL(schema::ZONE_STATE_OUT, state.zones().at("mandaue").state());
    LONGS_EQUAL(schema::Outcome::CODE_OK, state.apply(configCommand("remove zone", state.revision(), { "desk" })).code);
    LONGS_EQUAL(schema::ZONE_STATE_OUT, state.zones().at("mandaue").state());
}

TEST(FleetState, DeltasAndSnapshotsReproduceTable)
{
    CHECK(rc::check("the table of a daemon equals the table of the controllers after random commands", [] {
        FleetState state;
        state.apply(configCommand("first", 0, { "desk", "gallery" }));
        FleetState restored;
        schema::Table daemonTable;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            schema::Command command;
            const auto id = *rc::gen::inRange<std::uint32_t>(1, 6);
            const auto* record = state.server(id);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                command = announceCommand("desk-" + std::to_string(id), *rc::gen::inRange<std::uint64_t>(1, 4), "127.0.0.1:" + std::to_string(21000 + id));
                break;
            case 1:
                command.mutable_leave()->set_server_id(id);
                command.mutable_leave()->set_incarnation(record ? record->server().incarnation() : 1);
                command.mutable_leave()->set_draining(*rc::gen::arbitrary<bool>());
                break;
            case 2:
                command.mutable_drain()->set_server("desk-" + std::to_string(id));
                break;
            case 3:
                command.set_request_id("zone-" + std::to_string(step));
                command.mutable_zone()->set_zone("mandaue");
                command.mutable_zone()->set_state(*rc::gen::element(schema::ZONE_STATE_IN, schema::ZONE_STATE_OUT));
                break;
            default:
                command = *rc::gen::arbitrary<bool>() ? configCommand("config-" + std::to_string(step), state.revision(), { "desk" })
                                                      : configCommand("config-" + std::to_string(step), state.revision(), { "desk", "gallery" });
            }
            const auto before = state.version();
            state.apply(command);
            RC_ASSERT(state.version() >= before);
            if (*rc::gen::arbitrary<bool>())
                continue;
            const auto update = state.updateFrom(daemonTable.version());
            if (update->has_table())
                daemonTable = update->table();
            else if (update->has_delta())
                RC_ASSERT(fleet::applyDelta(daemonTable, update->delta()));
            auto expected = state.table();
            std::set<std::string> daemonServers;
            std::set<std::string> expectedServers;
            for (const auto& server : daemonTable.servers())
                daemonServers.insert(server.SerializeAsString());
            for (const auto& server : expected.servers())
                expectedServers.insert(server.SerializeAsString());
            RC_ASSERT(daemonServers == expectedServers);
            RC_ASSERT(daemonTable.version() == expected.version());
            RC_ASSERT(daemonTable.services_size() == expected.services_size());
            RC_ASSERT(daemonTable.zones_size() == expected.zones_size());
            restored.restore(state.snapshot());
            RC_ASSERT(google::protobuf::util::MessageDifferencer::Equals(restored.snapshot(), state.snapshot()));
        }
    }));
}
