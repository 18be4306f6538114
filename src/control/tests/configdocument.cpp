#include "control/configdocument.h"

#include "control/fleetstate.h"
#include "fleet/fleettable.h"
#include "fleet/tabledelta.h"

#include <CppUTest/TestHarness.h>
#include <google/protobuf/util/message_differencer.h>
#include <memory>
#include <optional>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

schema::Command documentCommand(std::uint64_t version, const std::string& text, std::initializer_list<const char*> endpoints)
{
    schema::Command command;
    auto& document = *command.mutable_document();
    document.set_version(version);
    document.set_text(text);
    document.add_services()->set_name("desk");
    document.add_services()->set_name("gallery");
    for (const auto* endpoint : endpoints) {
        auto& route = *document.add_routes();
        route.set_endpoint(endpoint);
        route.add_targets()->set_service_id(1);
        route.mutable_targets(0)->set_weight(1);
    }
    return command;
}

schema::Command zoneCommand(const std::string& zone, schema::ZoneState state)
{
    schema::Command command;
    command.mutable_zone()->set_zone(zone);
    command.mutable_zone()->set_state(state);
    command.mutable_zone()->set_create(true);
    return command;
}

} // namespace

// clang-format off
TEST_GROUP(ConfigDocument)
{
    FleetState state;
};
// clang-format on

TEST(ConfigDocument, OnlyHigherVersionReplacesDocument)
{
    CHECK(state.apply(documentCommand(4, "four", { "198.18.0.1:80" })).code == schema::Outcome::CODE_OK);
    const auto version = state.version();
    CHECK(state.apply(documentCommand(4, "another four", { "198.18.0.1:81" })).code == schema::Outcome::CODE_OK);
    CHECK(state.apply(documentCommand(3, "three", {})).code == schema::Outcome::CODE_OK);
    LONGS_EQUAL(version, state.version());
    CHECK(state.document().version() == 4U);
    STRCMP_EQUAL("four", state.document().text().c_str());
    state.apply(documentCommand(9, "nine", {}));
    STRCMP_EQUAL("nine", state.document().text().c_str());
    LONGS_EQUAL(0, state.table().routes_size());
}

TEST(ConfigDocument, ResolvesServiceIndexesOfRouteTargetsToServiceIds)
{
    state.apply(documentCommand(1, "one", { "198.18.0.1:80" }));
    const auto table = state.table();
    const auto target = table.routes(0).targets(0).service_id();
    for (const auto& service : table.services()) {
        if (service.id() == target)
            STRCMP_EQUAL("gallery", service.name().c_str());
    }
    LONGS_EQUAL(1, table.document_version());
}

TEST(ConfigDocument, DeltaProducesSameTableAsFullUpdate)
{
    state.apply(documentCommand(1, "one", { "198.18.0.1:80", "198.18.0.1:81" }));
    auto table = state.table();
    state.apply(documentCommand(2, "two", { "198.18.0.1:81", "198.18.0.1:82" }));
    const auto update = state.updateFrom(table.version());
    CHECK(update->has_delta());
    CHECK(fleet::applyDelta(table, update->delta()));
    google::protobuf::util::MessageDifferencer differencer;
    differencer.set_repeated_field_comparison(google::protobuf::util::MessageDifferencer::AS_SET);
    CHECK(differencer.Compare(table, state.table()));
}

// A delta without a removed or moved route would leave a daemon with an old route although its version is the newest.
TEST(ConfigDocument, DeltasOverSeveralChangesReproduceRoutes)
{
    CHECK(rc::check("routes are added, removed and moved to another service", [] {
        FleetState changing;
        schema::Table daemonTable;
        const auto changes = *rc::gen::inRange<std::uint64_t>(2, 30);
        for (std::uint64_t version = 1; version <= changes; ++version) {
            auto command = documentCommand(version, "document", {});
            for (int port = 80; port < 86; ++port) {
                const auto service = *rc::gen::inRange<std::uint32_t>(0, 3);
                if (service == 2)
                    continue;
                auto& route = *command.mutable_document()->add_routes();
                route.set_endpoint("198.18.0.1:" + std::to_string(port));
                route.add_targets()->set_service_id(service);
            }
            changing.apply(command);
            if (*rc::gen::arbitrary<bool>())
                continue;
            const auto update = changing.updateFrom(daemonTable.version());
            if (update->has_table())
                daemonTable = update->table();
            else
                RC_ASSERT(fleet::applyDelta(daemonTable, update->delta()));
            google::protobuf::util::MessageDifferencer differencer;
            differencer.set_repeated_field_comparison(google::protobuf::util::MessageDifferencer::AS_SET);
            RC_ASSERT(differencer.Compare(daemonTable, changing.table()));
        }
    }));
}

TEST(ConfigDocument, SnapshotRestoresDocumentAndZones)
{
    state.apply(documentCommand(7, "seven", { "198.18.0.1:80" }));
    state.apply(zoneCommand("kat-a", schema::ZONE_STATE_OUT));
    FleetState restored;
    restored.restore(state.snapshot());
    STRCMP_EQUAL("seven", restored.document().text().c_str());
    CHECK(restored.document().version() == 7U);
    LONGS_EQUAL(1, restored.table().routes_size());
    CHECK(restored.zones().at("kat-a").state() == schema::ZONE_STATE_OUT);
}

// Guards against a first document of version 0 that is acknowledged and not stored, since 0 stood for "none" (review/9).
TEST(ConfigDocument, AcceptedDocumentIsInForceUnlessSuperseded)
{
    CHECK(rc::check("documents of any versions, among them 0, through deltas, restarts and snapshots", [] {
        const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::weightedOneOf<std::uint64_t>({ { 2, rc::gen::inRange<std::uint64_t>(0, 4) }, { 1, rc::gen::arbitrary<std::uint64_t>() } }));
        auto current = std::make_unique<FleetState>();
        schema::Table daemonTable;
        std::optional<std::uint64_t> highest;
        std::string text;
        for (const auto version : versions) {
            if (!highest || version > *highest) {
                highest = version;
                text = "document " + std::to_string(version);
            }
            RC_ASSERT(current->apply(documentCommand(version, "document " + std::to_string(version), { "198.18.0.1:80" })).code == schema::Outcome::CODE_OK);
            if (*rc::gen::arbitrary<bool>()) {
                auto restored = std::make_unique<FleetState>();
                restored->restore(current->snapshot());
                current = std::move(restored);
            }
            const auto update = current->updateFrom(daemonTable.version());
            if (update->has_table())
                daemonTable = update->table();
            else
                RC_ASSERT(!update->has_delta() || fleet::applyDelta(daemonTable, update->delta()));
            RC_ASSERT(current->document().version() == highest);
            RC_ASSERT(current->document().text() == text);
            RC_ASSERT(fleet::FleetTable(daemonTable).documentVersion() == highest);
            RC_ASSERT(!current->document().supersedes(version));
        }
        RC_ASSERT(current->document().supersedes(0) == versions.empty());
    }));
}

TEST(ConfigDocument, SetZoneCreatesUnknownZoneAndIsIdempotent)
{
    CHECK(state.apply(zoneCommand("kat-a", schema::ZONE_STATE_OUT)).code == schema::Outcome::CODE_OK);
    const auto version = state.version();
    CHECK(state.apply(zoneCommand("kat-a", schema::ZONE_STATE_OUT)).code == schema::Outcome::CODE_OK);
    LONGS_EQUAL(version, state.version());
    CHECK(state.apply(zoneCommand("kat-a", schema::ZONE_STATE_IN)).code == schema::Outcome::CODE_OK);
    CHECK(state.zones().at("kat-a").state() == schema::ZONE_STATE_IN);
}

// Guards against resets of all open flows of a service that a document no longer lists though their route stays: a search for their
// holder visited all servers of the table, which had lost it (review/4).
TEST(ConfigDocument, ServerOfServiceThatIsNoLongerListedStaysInTable)
{
    state.apply(documentCommand(1, "one", { "198.18.0.1:80" }));
    schema::Command announcement;
    announcement.mutable_announcement()->set_name("server-1");
    announcement.mutable_announcement()->set_service("gallery");
    announcement.mutable_announcement()->set_agent_endpoint("10.0.0.1:8172");
    announcement.mutable_announcement()->set_boot_id(1);
    const auto registered = state.apply(announcement);
    schema::Command change;
    change.mutable_document()->set_version(2);
    change.mutable_document()->add_services()->set_name("desk");
    auto& route = *change.mutable_document()->add_routes();
    route.set_endpoint("198.18.0.1:80");
    route.add_targets()->set_weight(1);
    state.apply(change);
    const auto table = state.table();
    LONGS_EQUAL(1, table.servers_size());
    LONGS_EQUAL(registered.serverId, table.servers(0).id());
    LONGS_EQUAL(registered.incarnation, table.servers(0).incarnation());
    CHECK(table.routes(0).targets(0).service_id() != table.servers(0).service_id());
}
