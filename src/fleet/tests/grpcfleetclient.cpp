#include "fleet/internal/grpcfleetclient.h"

#include "fleet/fleettable.h"
#include "foundation/error.h"
#include "tests/latecontroller.h"
#include "tests/silentlistener.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <thread>

using namespace clementinesill;

namespace {

// Bounds a wait that only a fault makes long.
constexpr std::chrono::seconds patience { 60 };
// Service is to be back within this time after a restart of everything.
constexpr std::chrono::seconds recoveryBound { 2 };
// A daemon that is told to stop has six seconds for all of it.
constexpr std::chrono::seconds stopBound { 3 };
// Streams given up; each may meet a late message at the worst moment.
constexpr int givenUpStreams = 25;

} // namespace

// clang-format off
TEST_GROUP(GrpcFleetClient) {};
// clang-format on

TEST(GrpcFleetClient, AMessageThatComesAsItsStreamIsGivenUpHarmsNothing)
{
    LateController controller;
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    settings.add_controllers(controller.endpoint());
    fleet::GrpcFleetClient client(settings);
    client.start();
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (controller.streams < givenUpStreams && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    client.stop();
    CHECK(controller.streams >= givenUpStreams);
    LONGS_EQUAL(1, client.tables().table()->version());
}

TEST(GrpcFleetClient, ControllersAreLearntFromTheSourceEachTime)
{
    LateController controller;
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    std::atomic<int> asked { 0 };
    // The first seed is down; the file names another one later.
    fleet::GrpcFleetClient client(settings, [&] {
        return std::vector<std::string> { ++asked < 4 ? "127.0.0.1:1" : controller.endpoint() };
    });
    client.start();
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!client.tables().table()->version() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    client.stop();
    LONGS_EQUAL(1, client.tables().table()->version());
}

// Load pattern: all VMs start together, and some controllers are not back yet.
TEST(GrpcFleetClient, ControllersThatSayNothingDelayNoFirstTable)
{
    // Several of them, each of which would cost the time of a watch that does not open.
    const std::array<SilentListener, 6> silent;
    const LateController controller;
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    for (const auto& listener : silent)
        settings.add_controllers(listener.endpoint());
    settings.add_controllers(controller.endpoint());
    fleet::GrpcFleetClient client(settings);
    const auto started = std::chrono::steady_clock::now();
    client.start();
    while (!client.tables().table()->version() && std::chrono::steady_clock::now() < started + patience)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const auto took = std::chrono::steady_clock::now() - started;
    client.stop();
    CHECK(took < recoveryBound);
}

TEST(GrpcFleetClient, AStopInterruptsARegistrationThatNobodyAccepts)
{
    schema::DaemonSettings settings;
    settings.set_name("agent");
    settings.mutable_agent();
    settings.add_controllers("127.0.0.1:1");
    fleet::GrpcFleetClient client(settings);
    client.start();
    std::atomic<bool> ended { false };
    std::thread registering([&] {
        try {
            client.registerServer({});
        } catch (const Error& error) {
            ended = error.kind() == ErrorKind::Unavailable;
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const auto begun = std::chrono::steady_clock::now();
    client.interruptCalls();
    registering.join();
    client.stop();
    CHECK(ended);
    CHECK(std::chrono::steady_clock::now() - begun < stopBound);
}
