#include "operators/commandline.h"

#include "fakeoperators.h"
#include "foundation/seededrandom.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

using namespace clementinesill;
using namespace clementinesill::operators;

namespace {

constexpr int firstPort = 23100;
constexpr auto ordersFile = R"({"services":[{"name":"orders","address":"127.0.1.10","port":80,"mode":"http"}],"zones":[{"name":"talisay"}]})";

} // namespace

TEST_GROUP(CommandLine)
{
    ManualClock clock;
    SeededRandom random { 1 };
    std::ostringstream out;
    std::ostringstream err;
    std::string folder;
    // Polls that `watch` makes after its first.
    int remainingPolls = 0;
    // Called in each sleep.
    std::function<void()> duringSleep = [] {};

    void setup() override
    {
        char path[] = "/tmp/clementinesill-test-XXXXXX";
        folder = mkdtemp(path);
        setenv("XDG_CONFIG_HOME", folder.c_str(), 1);
    }

    void teardown() override { std::filesystem::remove_all(folder); }

    void write(const std::string& name, const std::string& content) { std::ofstream(folder + "/" + name) << content; }

    int run(const std::vector<std::string>& arguments)
    {
        out.str("");
        err.str("");
        return runCommandLine(arguments, { .out = out, .err = err, .clock = clock, .random = random, .sleep = [this](Duration duration) { clock.advance(duration); duringSleep(); }, .shouldStop = [this] { return !remainingPolls--; } });
    }
};

TEST(CommandLine, CheckReportsValidFolderOrFault)
{
    write("a.json", ordersFile);
    LONGS_EQUAL(0, run({ "check", folder }));
    STRCMP_EQUAL("valid: 1 services, 1 availability zones\n", out.str().c_str());
    LONGS_EQUAL(0, run({ "check", folder, "--output", "json" }));
    STRCMP_EQUAL("orders", nlohmann::json::parse(out.str())["services"][0]["name"].get<std::string>().c_str());
    write("b.json", "{\n\"zone\":[]}");
    LONGS_EQUAL(3, run({ "check", folder, "--output=json" }));
    const auto error = nlohmann::json::parse(err.str())["error"];
    STRCMP_EQUAL("unknown_key", error["fault"].get<std::string>().c_str());
    LONGS_EQUAL(2, error["line"].get<int>());
    LONGS_EQUAL(3, run({ "check", folder + "/none" }));
}

TEST(CommandLine, ApplySendsFolderBasedOnCurrentRevision)
{
    FakeOperators controller(firstPort);
    controller.config.set_revision(7);
    write("a.json", ordersFile);
    LONGS_EQUAL(0, run({ "apply", folder, "--controllers", controller.endpoint(), "--operator", "ana" }));
    LONGS_EQUAL(1, controller.applied.size());
    const auto& request = controller.applied[0];
    LONGS_EQUAL(7, request.base_revision());
    STRCMP_EQUAL("ana", request.operator_name().c_str());
    LONGS_EQUAL(32, request.request_id().size());
    STRCMP_EQUAL(ordersFile, request.files(0).content().c_str());
    *controller.config.mutable_files() = request.files();
    LONGS_EQUAL(0, run({ "apply", folder, "--controllers", controller.endpoint() }));
    LONGS_EQUAL(1, controller.applied.size());
    STRCMP_EQUAL("already in force: revision 7\n", out.str().c_str());
}

TEST(CommandLine, ApplyDoesNotSendInvalidFolder)
{
    FakeOperators controller(firstPort + 1);
    write("a.json", "{\"zones\":[{}]}");
    LONGS_EQUAL(3, run({ "apply", folder, "--controllers", controller.endpoint() }));
    LONGS_EQUAL(0, controller.applied.size());
}

TEST(CommandLine, ConflictErrorIncludesRemedy)
{
    FakeOperators controller(firstPort + 2);
    controller.changeOutcome.set_code(schema::Outcome::CODE_CONFLICT);
    controller.changeOutcome.set_message("a.json was changed by ben in revision 8; read it and apply again");
    write("a.json", ordersFile);
    LONGS_EQUAL(4, run({ "apply", folder, "--controllers", controller.endpoint(), "--output", "json" }));
    const auto error = nlohmann::json::parse(err.str())["error"];
    STRCMP_EQUAL("conflict", error["kind"].get<std::string>().c_str());
    STRCMP_EQUAL("read it and apply again", error["remedy"].get<std::string>().c_str());
}

TEST(CommandLine, ZoneFollowsLeaderHint)
{
    FakeOperators follower(firstPort + 3);
    FakeOperators leader(firstPort + 4);
    follower.changeOutcome.set_code(schema::Outcome::CODE_NOT_LEADER);
    follower.changeOutcome.set_leader_hint(leader.endpoint());
    // The client reads the revision from the first controller of the list and sends the change to the second.
    LONGS_EQUAL(0, run({ "zone", "out", "talisay", "--controllers", leader.endpoint() + "," + follower.endpoint() }));
    LONGS_EQUAL(1, follower.zones.size());
    LONGS_EQUAL(1, leader.zones.size());
    STRCMP_EQUAL(follower.zones[0].request_id().c_str(), leader.zones[0].request_id().c_str());
    LONGS_EQUAL(schema::ZONE_STATE_OUT, leader.zones[0].state());
}

TEST(CommandLine, StatusPrintsTablesOrJson)
{
    FakeOperators controller(firstPort + 5);
    controller.status.set_version(9);
    auto& daemon = *controller.status.add_daemons();
    daemon.set_daemon("balancer-1");
    daemon.set_version(7);
    LONGS_EQUAL(0, run({ "status", "--controllers", controller.endpoint() }));
    CHECK(out.str().find("balancer-1  unknown        7        2       0") != std::string::npos);
    LONGS_EQUAL(0, run({ "status", "--controllers", controller.endpoint(), "-o", "json" }));
    STRCMP_EQUAL("9", nlohmann::json::parse(out.str())["version"].get<std::string>().c_str());
}

TEST(CommandLine, InvalidCommandLineExitsWithUsageCode)
{
    LONGS_EQUAL(2, run({}));
    LONGS_EQUAL(2, run({ "balance" }));
    LONGS_EQUAL(2, run({ "apply" }));
    LONGS_EQUAL(2, run({ "status" }));
    LONGS_EQUAL(2, run({ "status", "--colour" }));
    LONGS_EQUAL(2, run({ "status", "--timeout", "ten" }));
    LONGS_EQUAL(2, run({ "zone", "away", "talisay", "--controllers", "127.0.0.1:1" }));
    LONGS_EQUAL(0, run({ "--help" }));
    LONGS_EQUAL(0, run({ "apply", "--help" }));
    CHECK(out.str().find("--base-revision") != std::string::npos);
}

TEST(CommandLine, UsesControllersFromClientSettings)
{
    FakeOperators controller(firstPort + 6);
    std::filesystem::create_directory(folder + "/clementinesill");
    write("clementinesill/client.json", "{\"controllers\":[\"" + controller.endpoint() + "\"], // the only one\n\"operatorName\":\"ana\"}");
    LONGS_EQUAL(0, run({ "zone", "in", "talisay" }));
    STRCMP_EQUAL("ana", controller.zones[0].operator_name().c_str());
    write("other.json", "{\"controllers\":[\"[::1]:80\"]}");
    LONGS_EQUAL(3, run({ "status", "--config", folder + "/other.json" }));
}

TEST(CommandLine, DrainAndResumeSendServerName)
{
    FakeOperators controller(firstPort + 7);
    LONGS_EQUAL(0, run({ "drain", "orders-1", "--controllers", controller.endpoint() }));
    LONGS_EQUAL(0, run({ "drain", "orders-1", "--resume", "--controllers", controller.endpoint() }));
    CHECK(!controller.drains[0].resume());
    CHECK(controller.drains[1].resume());
    STRCMP_EQUAL("orders-1", controller.drains[1].server().c_str());
    CHECK(controller.drains[0].request_id() != controller.drains[1].request_id());
    controller.changeOutcome.set_code(schema::Outcome::CODE_NOT_FOUND);
    LONGS_EQUAL(7, run({ "drain", "nobody", "--controllers", controller.endpoint() }));
}

TEST(CommandLine, ServersShowsServiceName)
{
    FakeOperators controller(firstPort + 8);
    auto& service = *controller.config.mutable_table()->add_services();
    service.set_id(3);
    service.set_name("orders");
    auto& server = *controller.status.add_servers()->mutable_server();
    server.set_name("orders-1");
    server.set_service_id(3);
    LONGS_EQUAL(0, run({ "servers", "--controllers", controller.endpoint() }));
    CHECK(out.str().find("orders-1  orders") != std::string::npos);
}

TEST(CommandLine, EventsStartAfterGivenNumber)
{
    FakeOperators controller(firstPort + 9);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        controller.events.emplace_back().set_number(number);
        controller.events.back().set_kind("zone_out");
    }
    LONGS_EQUAL(0, run({ "events", "--after", "1", "--controllers", controller.endpoint() }));
    STRCMP_EQUAL("2 1970-01-01T00:00:00.000Z zone_out  [version 0]\n3 1970-01-01T00:00:00.000Z zone_out  [version 0]\n", out.str().c_str());
}

TEST(CommandLine, WatchAppliesEachChangeOnceAndContinuesAfterFaults)
{
    FakeOperators controller(firstPort + 10);
    write("a.json", ordersFile);
    remainingPolls = 5;
    int polls = 0;
    duringSleep = [&] {
        ++polls;
        if (polls == 2)
            write("b.json", "{\"zones\":[{}]}");
        if (polls == 4)
            write("b.json", "{\"zones\":[{\"name\":\"mandaue\"}]}");
    };
    LONGS_EQUAL(0, run({ "watch", folder, "--controllers", controller.endpoint() }));
    LONGS_EQUAL(2, controller.applied.size());
    LONGS_EQUAL(2, controller.applied[1].files_size());
    // The fault is reported once, although two polls found it.
    CHECK(err.str().find("b.json:1: key 'zones[0].name'") != std::string::npos);
    LONGS_EQUAL(1, std::ranges::count(err.str(), '\n'));
}

TEST(CommandLine, WatchRetriesAfterConflictAndReportsItOnce)
{
    FakeOperators controller(firstPort + 11);
    controller.changeOutcome.set_code(schema::Outcome::CODE_CONFLICT);
    write("a.json", ordersFile);
    remainingPolls = 4;
    duringSleep = [&] {
        if (controller.applied.size() == 3)
            controller.changeOutcome.set_code(schema::Outcome::CODE_OK);
    };
    LONGS_EQUAL(0, run({ "watch", folder, "--controllers", controller.endpoint() }));
    LONGS_EQUAL(4, controller.applied.size());
    LONGS_EQUAL(1, std::ranges::count(err.str(), '\n'));
}
