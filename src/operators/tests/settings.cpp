#include "operators/settings.h"

#include "operators/configerror.h"
#include "operators/settingschange.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace clementinesill;
using namespace clementinesill::operators;

namespace {

constexpr std::uint16_t usedPort = 23050;
constexpr auto usedEndpoint = "127.0.0.1:23050";

// A socket that is bound to usedEndpoint.
class BoundSocket {
public:
    explicit BoundSocket(int type)
        : m_socket(socket(AF_INET, type, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(usedPort);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            FAIL("the test's port is in use");
        listen(m_socket, 1);
    }
    ~BoundSocket() { close(m_socket); }

private:
    int m_socket;
};

const std::string balancer = R"({"name":"b1","zone":"mandaue","controllers":["127.0.0.1:7000"],
"balancer":{"dataEndpoint":"127.0.0.1:23050"}})";
const std::string agent = R"({"name":"a1","zone":"mandaue","controllers":["127.0.0.1:7000"],
"agent":{"dataEndpoint":"127.0.0.1:23050","service":"orders","serverEndpoint":"127.0.0.1:8080","slots":5,"connectionLimit":2000}})";
const std::string controller = R"({"name":"c1",
"controller":{"endpoint":"127.0.0.1:23050","dataFolder":"/tmp","peers":[
{"name":"c1","endpoint":"127.0.0.1:23050"},{"name":"c2","endpoint":"127.0.0.1:23052"}]}})";
const std::string passThroughBalancer = R"({"name":"b2","zone":"mandaue","discovery":{"seeds":["127.0.0.1:8166"],"port":8166},
"balancer":{"passThrough":{"packetEndpoint":"127.0.0.1:23050","peerEndpoint":"127.0.0.1:23051","readyEndpoint":"127.0.0.1:23052",
"overload":{"linkMbps":2.7,"linkOverheadBytes":28,"waitingOpenings":64,"loadNotices":true}}}})";

// A replacement in valid settings that makes them invalid.
struct InvalidChange {
    const std::string& base;
    const char* replaced;
    const char* replacement;
    ConfigFault fault;
    int line;
    const char* key;
};

} // namespace

TEST_GROUP(Settings)
{
    std::string file;

    void setup() override
    {
        char path[] = "/tmp/clementinesill-test-XXXXXX";
        file = std::string(mkdtemp(path)) + "/daemon.json";
    }

    void teardown() override { std::filesystem::remove_all(std::filesystem::path(file).parent_path()); }

    std::optional<ConfigError> errorOf(const std::string& text, const SettingsOptions& options = {})
    {
        std::ofstream(file) << text;
        try {
            loadDaemonSettings(file, options);
        } catch (const ConfigError& error) {
            return error;
        }
        return std::nullopt;
    }

    void checkRejected(const InvalidChange& change)
    {
        auto text = change.base;
        const auto position = text.find(change.replaced);
        CHECK_TRUE_TEXT(position != std::string::npos, change.replaced);
        text.replace(position, std::string(change.replaced).size(), change.replacement);
        const auto error = errorOf(text);
        CHECK_TRUE_TEXT(error.has_value(), change.replacement);
        STRCMP_EQUAL_TEXT(std::string(name(change.fault)).c_str(), std::string(name(error->fault())).c_str(), error->what());
        LONGS_EQUAL_TEXT(change.line, error->position().line, error->what());
        STRCMP_EQUAL_TEXT(change.key, error->position().key.c_str(), error->what());
        STRCMP_EQUAL(file.c_str(), error->position().file.c_str());
        CHECK_TRUE_TEXT(error->kind() == (change.fault == ConfigFault::Ipv6Address ? ErrorKind::Unsupported : ErrorKind::InvalidSettings), error->what());
        CHECK_TRUE_TEXT(!error->remedy().empty(), error->what());
    }
};

TEST(Settings, AcceptsValidSettingsOfEachRole)
{
    for (const auto* text : { &balancer, &agent, &controller, &passThroughBalancer }) {
        const auto error = errorOf(*text);
        CHECK_TRUE_TEXT(!error.has_value(), error ? error->what() : "");
    }
}

TEST(Settings, ReportsLineAndKeyOfEachFault)
{
    const InvalidChange changes[] = {
        { balancer, "\"zone\"", "\"zones\"", ConfigFault::UnknownKey, 1, "zones" },
        { agent, "\"slots\":5", "\"slots\":5,\n\"slots\":6", ConfigFault::DuplicateKey, 3, "agent.slots" },
        { agent, "\"slots\":5", "\"slots\":\"5\"", ConfigFault::WrongType, 2, "agent.slots" },
        { agent, "\"slots\":5", "\"slots\":-5", ConfigFault::WrongType, 2, "agent.slots" },
        { agent, "\"slots\":5", "\"slots\":0", ConfigFault::OutOfRange, 2, "agent.slots" },
        { agent, "\"slots\":5,", "", ConfigFault::MissingKey, 2, "agent.slots" },
        { agent, "\"slots\":5", "\"slots\":5,\"healthIntervalMs\":\"3s\"", ConfigFault::WrongUnit, 2, "agent.healthIntervalMs" },
        { agent, "\"slots\":5", "\"slots\":5,\"drainTimeoutSeconds\":\"1500ms\"", ConfigFault::WrongUnit, 2, "agent.drainTimeoutSeconds" },
        { agent, "\"slots\":5", "\"slots\":5,\"healthPath\":\"health\"", ConfigFault::UnknownValue, 2, "agent.healthPath" },
        { agent, "\"a1\"", "\"A 1\"", ConfigFault::BadName, 1, "name" },
        { balancer, "\"name\":\"b1\",", "", ConfigFault::MissingKey, 1, "name" },
        { balancer, "\"balancer\"", "\"agent\":{},\n\"balancer\"", ConfigFault::MultipleRoles, 3, "balancer" },
        { balancer, "127.0.0.1:23050", "127.0.0.1", ConfigFault::BadAddress, 2, "balancer.dataEndpoint" },
        { balancer, "127.0.0.1:23050", "[::1]:23050", ConfigFault::Ipv6Address, 2, "balancer.dataEndpoint" },
        { balancer, "127.0.0.1:7000", "10.0.0.1:7000", ConfigFault::PlaintextOffLoopback, 1, "controllers[0]" },
        { balancer, "\"name\"", "\"log\":{\"level\":\"loud\"},\"name\"", ConfigFault::UnknownValue, 1, "log.level" },
        { balancer, "\"name\"", "\"tls\":{\"keyFile\":\"k\"},\"name\"", ConfigFault::MissingKey, 1, "tls.certificateFile" },
        { balancer, "\"name\"", "\"tls\":{\"keyFile\":\"/none/k\",\n\"certificateFile\":\"/none/c\",\"authorityFile\":\"/none/a\"},\"name\"", ConfigFault::MissingFile, 2, "tls.certificateFile" },
        { controller, "/tmp", "/none/data", ConfigFault::MissingFolder, 2, "controller.dataFolder" },
        { controller, "{\"name\":\"c1\",\"endpoint\"", "{\"name\":\"c3\",\"endpoint\"", ConfigFault::MissingKey, 2, "controller.peers" },
        { controller, "\"c2\"", "\"c1\"", ConfigFault::DuplicateRecord, 3, "controller.peers[1].name" },
        { controller, "}}", "}", ConfigFault::Syntax, 3, "" },
        { passThroughBalancer, "2.7", "0.1", ConfigFault::OutOfRange, 3, "balancer.passThrough.overload.linkMbps" },
        { passThroughBalancer, "2.7", "-1", ConfigFault::WrongType, 3, "balancer.passThrough.overload.linkMbps" },
        { passThroughBalancer, "2.7", "100001", ConfigFault::OutOfRange, 3, "balancer.passThrough.overload.linkMbps" },
        { passThroughBalancer, "2.7", "\"2.7\"", ConfigFault::WrongType, 3, "balancer.passThrough.overload.linkMbps" },
        { passThroughBalancer, "28", "201", ConfigFault::OutOfRange, 3, "balancer.passThrough.overload.linkOverheadBytes" },
        { passThroughBalancer, "64", "1001", ConfigFault::OutOfRange, 3, "balancer.passThrough.overload.waitingOpenings" },
        { passThroughBalancer, "64", "-1", ConfigFault::WrongType, 3, "balancer.passThrough.overload.waitingOpenings" },
        { passThroughBalancer, "\"loadNotices\":true", "\"loadNotices\":1", ConfigFault::WrongType, 3, "balancer.passThrough.overload.loadNotices" },
    };
    for (const auto& change : changes)
        checkRejected(change);
}

// A rate of 0 and absent keys mean that overload handling is off, and integers are valid rates: the deploy template writes both.
TEST(Settings, AcceptsLinkRateOfZeroAndWholeNumbers)
{
    for (const auto* rate : { "0", "0.2", "100", "100000" }) {
        auto text = passThroughBalancer;
        text.replace(text.find("2.7"), 3, rate);
        const auto error = errorOf(text);
        CHECK_TRUE_TEXT(!error.has_value(), error ? error->what() : "");
    }
}

TEST(Settings, ReportsMissingRoleAndUnreadableFile)
{
    CHECK(errorOf(R"({"name":"b1"})")->fault() == ConfigFault::MissingRole);
    try {
        loadDaemonSettings("/none/daemon.json");
        FAIL("accepted");
    } catch (const ConfigError& error) {
        CHECK(error.fault() == ConfigFault::Unreadable);
    }
}

TEST(Settings, WrongUnitRemedyStatesNumberToWrite)
{
    auto text = agent;
    text.replace(text.find("\"slots\":5"), 9, "\"slots\":5,\"healthIntervalMs\":\"3s\"");
    STRCMP_EQUAL("write 3000 (milliseconds, without quotes)", errorOf(text)->remedy().c_str());
}

TEST(Settings, DetectsListenAddressInUse)
{
    const SettingsOptions probing { .probeListenAddresses = true };
    {
        const BoundSocket used(SOCK_DGRAM);
        for (const auto* text : { &balancer, &agent })
            CHECK(errorOf(*text, probing)->fault() == ConfigFault::AddressInUse);
        CHECK(!errorOf(controller, probing).has_value());
    }
    {
        const BoundSocket used(SOCK_STREAM);
        const auto error = errorOf(controller, probing);
        CHECK(error->fault() == ConfigFault::AddressInUse);
        LONGS_EQUAL(2, error->position().line);
        CHECK(!errorOf(balancer, probing).has_value());
    }
    CHECK(!errorOf(balancer, probing).has_value());
}

TEST(Settings, RejectsSameAddressForTwoEndpoints)
{
    auto text = controller;
    text.insert(1, std::string("\"admin\":{\"endpoint\":\"") + usedEndpoint + "\"},");
    CHECK(errorOf(text, { .probeListenAddresses = true })->fault() == ConfigFault::AddressInUse);
}

TEST(Settings, NamesEachChangedSettingWithBothValues)
{
    schema::DaemonSettings running;
    running.mutable_log()->set_level("info");
    running.mutable_discovery()->add_seeds("10.0.0.1:8166");
    running.mutable_agent()->mutable_pass_through()->set_heartbeat_ms(770);
    auto file = running;
    CHECK(operators::changedSettings(running, file).empty());
    file.mutable_log()->set_level("debug");
    file.mutable_discovery()->set_seeds(0, "10.0.0.2:8166");
    file.mutable_agent()->mutable_pass_through()->set_heartbeat_ms(500);
    file.mutable_admin()->set_endpoint("127.0.0.1:9464");
    std::map<std::string, operators::SettingChange> changes;
    for (const auto& change : operators::changedSettings(running, file))
        changes[change.setting] = change;
    LONGS_EQUAL(4, changes.size());
    CHECK(changes["log.level"].reloadable && changes["discovery.seeds"].reloadable);
    CHECK(!changes["agent.passThrough.heartbeatMs"].reloadable && !changes["admin"].reloadable);
    STRCMP_EQUAL("770", changes["agent.passThrough.heartbeatMs"].oldValue.c_str());
    STRCMP_EQUAL("500", changes["agent.passThrough.heartbeatMs"].newValue.c_str());

    operators::copyReloadableSettings(file, running);
    const auto remaining = operators::changedSettings(running, file);
    LONGS_EQUAL(2, remaining.size());
    for (const auto& change : remaining)
        CHECK(!change.reloadable);
}
