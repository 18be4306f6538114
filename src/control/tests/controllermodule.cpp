#include "control/controllermodule.h"

#include "control.grpc.pb.h"
#include "fleet/fleetclient.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "foundation/metrics.h"
#include "settings.pb.h"
#include "tests/temporaryfolder.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <future>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <optional>
#include <thread>
#include <unistd.h>

using namespace clementinesill;

namespace {

const std::array<std::string, 3> endpoints { "127.0.0.1:21100", "127.0.0.1:21101", "127.0.0.1:21102" };
// Upper limit for a failing test; a passing test does not wait for it.
constexpr auto testTimeout = std::chrono::seconds(30);
// Time within which an accepted change is in force everywhere (config_propagation_ms of the users' deployments).
constexpr auto propagationBound = std::chrono::seconds(3);

bool waitUntil(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

// Runs the controllers of one group in the test process.
class Controllers {
public:
    explicit Controllers(std::size_t count)
        : m_count(count)
    {
        for (std::size_t index = 0; index < count; ++index)
            start(index);
    }

    ~Controllers()
    {
        for (std::size_t index = 0; index < m_count; ++index)
            stop(index);
    }

    Controllers(const Controllers&) = delete;
    Controllers& operator=(const Controllers&) = delete;

    void start(std::size_t index)
    {
        schema::DaemonSettings settings;
        settings.set_name("control-" + std::to_string(index + 1));
        auto& controller = *settings.mutable_controller();
        controller.set_endpoint(endpoints[index]);
        controller.set_data_folder(m_folder.path() + "/" + settings.name());
        for (std::size_t other = 0; other < m_count; ++other) {
            auto& peer = *controller.add_peers();
            peer.set_name("control-" + std::to_string(other + 1));
            peer.set_endpoint(endpoints[other]);
        }
        m_modules[index] = control::makeControllerModule(settings, m_metrics);
        m_modules[index]->start();
    }

    void stop(std::size_t index)
    {
        if (m_modules[index])
            m_modules[index]->stop();
        m_modules[index].reset();
    }

    void removeDataFolder(std::size_t index) { std::filesystem::remove_all(m_folder.path() + "/control-" + std::to_string(index + 1)); }

    // Lets all further writes to the controller's log fail with "no space left on device".
    void fillDisk(std::size_t index)
    {
        const std::filesystem::path log = m_folder.path() + "/control-" + std::to_string(index + 1) + "/log";
        const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
        std::error_code ignored;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            if (std::filesystem::read_symlink(entry.path(), ignored) == log)
                ::dup2(full, std::stoi(entry.path().filename()));
        }
        ::close(full);
    }

    bool running(std::size_t index) const { return m_modules[index] != nullptr; }

    // Status as reported by a running controller.
    schema::StatusResponse status(std::size_t index) const
    {
        schema::StatusResponse response;
        grpc::ClientContext context;
        stub(index)->Status(&context, {}, &response);
        return response;
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < m_count; ++index) {
            if (running(index) && status(index).self().role() == "leader" && status(index).self().lease_valid())
                return index;
        }
        return std::nullopt;
    }

    std::unique_ptr<schema::Operators::Stub> stub(std::size_t index) const
    {
        return schema::Operators::NewStub(grpc::CreateChannel(endpoints[index], grpc::InsecureChannelCredentials()));
    }

    // Sends the request to the current leader, and retries until the outcome is definite.
    schema::ChangeResponse apply(const std::string& requestId, std::uint64_t baseRevision, const std::string& service) const
    {
        schema::ApplyRequest request;
        request.set_request_id(requestId);
        request.set_base_revision(baseRevision);
        auto& file = *request.add_files();
        file.set_name("10.json");
        file.set_content(R"({ "services": [ // order desk
        { "name": ")"
            + service + R"(", "address": "127.0.0.1", "port": 8080, "protocol": "tcp", "mode": "http" } ] })");
        schema::ChangeResponse response;
        waitUntil([&] {
            const auto index = leader();
            if (!index)
                return false;
            response.Clear();
            grpc::ClientContext context;
            const auto code = stub(*index)->Apply(&context, request, &response).ok() ? response.outcome().code() : schema::Outcome::CODE_UNKNOWN;
            return code == schema::Outcome::CODE_OK || code == schema::Outcome::CODE_CONFLICT || code == schema::Outcome::CODE_INVALID;
        });
        return response;
    }

private:
    std::size_t m_count;
    TemporaryFolder m_folder;
    MetricsRegistry m_metrics;
    std::array<std::unique_ptr<IRoleModule>, 3> m_modules;
};

std::unique_ptr<fleet::IFleetClient> startFleetClient(std::size_t controllers)
{
    schema::DaemonSettings settings;
    settings.set_name("agent-1");
    settings.mutable_agent();
    for (std::size_t index = 0; index < controllers; ++index)
        settings.add_controllers(endpoints[index]);
    auto client = fleet::makeFleetClient(settings);
    client->start();
    return client;
}

} // namespace

// clang-format off
TEST_GROUP(ControllerModule) {};
// clang-format on

TEST(ControllerModule, DaemonReceivesServicesAndServersInTable)
{
    const Controllers controllers(1);
    const auto client = startFleetClient(1);
    const auto accepted = controllers.apply("one", 0, "desk");
    LONGS_EQUAL(schema::Outcome::CODE_OK, accepted.outcome().code());
    CHECK(waitUntil([&] { return client->tables().table()->service("desk") != nullptr; }));

    schema::ServerAnnouncement announcement;
    announcement.set_name("desk-1");
    announcement.set_service("desk");
    announcement.set_zone("mandaue");
    announcement.set_agent_endpoint("127.0.0.1:21101");
    announcement.set_boot_id(7);
    const auto registration = client->registerServer(announcement, std::chrono::seconds(20));
    CHECK(waitUntil([&] { return client->tables().table()->server(registration.serverId) != nullptr; }));

    schema::RenewRequest renewal;
    renewal.set_server_id(registration.serverId);
    renewal.set_incarnation(registration.incarnation);
    CHECK(client->renew(renewal));
    renewal.set_incarnation(registration.incarnation + 1);
    CHECK_FALSE(client->renew(renewal));

    client->leave(registration, true);
    CHECK(waitUntil([&] {
        const auto* server = client->tables().table()->server(registration.serverId);
        return server && server->draining;
    }));
    client->leave(registration, false);
    CHECK(waitUntil([&] { return !client->tables().table()->server(registration.serverId); }));
    client->stop();
}

TEST(ControllerModule, AcceptedChangeSurvivesLeaderFailureAndGroupRestart)
{
    Controllers controllers(3);
    const auto client = startFleetClient(3);
    LONGS_EQUAL(schema::Outcome::CODE_OK, controllers.apply("one", 0, "desk").outcome().code());
    CHECK(waitUntil([&] { return client->tables().table()->service("desk") != nullptr; }));
    const auto first = controllers.leader();
    CHECK(first.has_value());
    controllers.stop(*first);
    const auto accepted = controllers.apply("two", 1, "gallery");
    LONGS_EQUAL(schema::Outcome::CODE_OK, accepted.outcome().code());
    // A retried request gets its first response from the new leader too, and after a restart of the group.
    LONGS_EQUAL(1, controllers.apply("one", 0, "desk").revision());
    CHECK(waitUntil([&] { return client->tables().table()->version() >= accepted.version(); }));
    for (std::size_t index = 0; index < 3; ++index)
        controllers.stop(index);
    for (std::size_t index = 0; index < 3; ++index)
        controllers.start(index);
    LONGS_EQUAL(2, controllers.apply("two", 1, "gallery").revision());
    LONGS_EQUAL(schema::Outcome::CODE_CONFLICT, controllers.apply("three", 1, "other").outcome().code());
    CHECK(client->tables().table()->version() >= accepted.version());
    client->stop();
}

TEST(ControllerModule, ControllerWithLostDataFolderRejoinsUnderNewIdentity)
{
    Controllers controllers(3);
    LONGS_EQUAL(schema::Outcome::CODE_OK, controllers.apply("one", 0, "desk").outcome().code());
    const auto first = *controllers.leader();
    const auto replaced = (first + 1) % 3;
    controllers.stop(replaced);
    controllers.removeDataFolder(replaced);
    controllers.start(replaced);
    CHECK(waitUntil([&] { return controllers.status(replaced).self().role() == "follower"; }));
    controllers.stop(first);
    LONGS_EQUAL(1, controllers.apply("one", 0, "desk").revision());
    LONGS_EQUAL(schema::Outcome::CODE_OK, controllers.apply("two", 1, "gallery").outcome().code());
}

TEST(ControllerModule, FollowerWithFullDiskEndsStreamsOfDaemonsWithOldTable)
{
    Controllers controllers(3);
    const auto accepted = controllers.apply("one", 0, "desk");
    const auto follower = (*controllers.leader() + 1) % 3;
    const auto stub = schema::Fleet::NewStub(grpc::CreateChannel(endpoints[follower], grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    schema::WatchRequest request;
    request.set_version(accepted.version());
    const auto stream = stub->Watch(&context, request);
    schema::TableUpdate update;
    CHECK(stream->Read(&update));
    controllers.fillDisk(follower);
    LONGS_EQUAL(schema::Outcome::CODE_OK, controllers.apply("two", 1, "gallery").outcome().code());
    auto status = std::async(std::launch::async, [&] {
        while (stream->Read(&update)) { }
        return stream->Finish().error_code();
    });
    const bool ended = status.wait_for(propagationBound) == std::future_status::ready;
    context.TryCancel();
    CHECK(ended);
    LONGS_EQUAL(grpc::StatusCode::UNAVAILABLE, status.get());
}
