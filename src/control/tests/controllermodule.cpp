#include "control/controllermodule.h"

#include "control.grpc.pb.h"
#include "fleet/fleetclient.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "foundation/metrics.h"
#include "settings.pb.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <thread>

using namespace clementinesill;

namespace {

constexpr auto* controllerEndpoint = "127.0.0.1:21100";
// A failing test ends after this long; a passing one does not depend on it.
constexpr auto testTimeout = std::chrono::seconds(30);

bool eventually(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

schema::DaemonSettings controllerSettings()
{
    schema::DaemonSettings settings;
    settings.set_name("control-1");
    settings.mutable_controller()->set_endpoint(controllerEndpoint);
    auto& peer = *settings.mutable_controller()->add_peers();
    peer.set_name("control-1");
    peer.set_endpoint(controllerEndpoint);
    return settings;
}

schema::ChangeResponse applyServices(const std::string& requestId, std::uint64_t baseRevision)
{
    const auto stub = schema::Operators::NewStub(grpc::CreateChannel(controllerEndpoint, grpc::InsecureChannelCredentials()));
    schema::ApplyRequest request;
    request.set_request_id(requestId);
    request.set_base_revision(baseRevision);
    auto& file = *request.add_files();
    file.set_name("10.json");
    file.set_content(R"({ "services": [ // the order desk
        { "name": "desk", "address": "127.0.0.1", "port": 8080, "protocol": "tcp", "mode": "http" } ] })");
    schema::ChangeResponse response;
    eventually([&] {
        grpc::ClientContext context;
        return stub->Apply(&context, request, &response).ok() && response.outcome().code() != schema::Outcome::CODE_NOT_LEADER && response.outcome().code() != schema::Outcome::CODE_NO_QUORUM;
    });
    return response;
}

} // namespace

// clang-format off
TEST_GROUP(ControllerModule) {};
// clang-format on

TEST(ControllerModule, DaemonSeesServicesAndServers)
{
    MetricsRegistry metrics;
    const auto module = control::makeControllerModule(controllerSettings(), metrics);
    module->start();
    schema::DaemonSettings settings;
    settings.set_name("agent-1");
    settings.mutable_agent();
    settings.add_controllers(controllerEndpoint);
    const auto client = fleet::makeFleetClient(settings);
    client->start();
    const auto accepted = applyServices("one", 0);
    LONGS_EQUAL(schema::Outcome::CODE_OK, accepted.outcome().code());
    CHECK(eventually([&] { return client->tables().table()->service("desk") != nullptr; }));

    schema::ServerAnnouncement announcement;
    announcement.set_name("desk-1");
    announcement.set_service("desk");
    announcement.set_zone("mandaue");
    announcement.set_agent_endpoint("127.0.0.1:21101");
    announcement.set_boot_id(7);
    const auto registration = client->registerServer(announcement);
    CHECK(eventually([&] { return client->tables().table()->server(registration.serverId) != nullptr; }));

    schema::RenewRequest renewal;
    renewal.set_server_id(registration.serverId);
    renewal.set_incarnation(registration.incarnation);
    CHECK(client->renew(renewal));
    renewal.set_incarnation(registration.incarnation + 1);
    CHECK_FALSE(client->renew(renewal));

    client->leave(registration, true);
    CHECK(eventually([&] {
        const auto* server = client->tables().table()->server(registration.serverId);
        return server && server->draining;
    }));
    client->leave(registration, false);
    CHECK(eventually([&] { return !client->tables().table()->server(registration.serverId); }));
    client->stop();
    module->stop();
}
