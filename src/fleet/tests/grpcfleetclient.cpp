#include "fleet/internal/grpcfleetclient.h"

#include "fleet/fleettable.h"
#include "foundation/error.h"
#include "tests/delayedcontroller.h"
#include "tests/silentcontroller.h"
#include "tests/unresponsivelistener.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <thread>

using namespace clementinesill;

namespace {

// Upper bound of waits that take this long only if the code is faulty.
constexpr std::chrono::seconds waitTimeout { 60 };
// After a restart of all VMs, service must be restored within this time.
constexpr std::chrono::seconds recoveryLimit { 2 };
// An accepted change must be in force within this time (config_propagation_ms of the users' deployments).
constexpr std::chrono::seconds propagationBound { 3 };
// A daemon must shut down within six seconds; ending the calls may take this part of them.
constexpr std::chrono::seconds interruptLimit { 3 };
constexpr std::chrono::seconds registerTimeout { 20 };
// Number of streams that time out; on each, a late update may arrive while the client closes the stream.
constexpr int timedOutStreams = 25;

void waitForVersion(fleet::GrpcFleetClient& client, std::uint64_t version)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (client.tables().table()->version() < version && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    LONGS_EQUAL(version, client.tables().table()->version());
}

} // namespace

// clang-format off
TEST_GROUP(GrpcFleetClient) {};
// clang-format on

// Guards against a use after free: a read that timed out may still write its update while the client closes the stream.
TEST(GrpcFleetClient, ReconnectsWhenUpdateArrivesAsStreamTimesOut)
{
    DelayedController controller;
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    settings.add_controllers(controller.endpoint());
    fleet::GrpcFleetClient client(settings);
    client.start();
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (controller.streams < timedOutStreams && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    client.stop();
    CHECK(controller.streams >= timedOutStreams);
    LONGS_EQUAL(1, client.tables().table()->version());
}

TEST(GrpcFleetClient, ReadsControllersFromSourceBeforeEachAttempt)
{
    DelayedController controller;
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    std::atomic<int> sourceCalls { 0 };
    // The first controller is down; the source returns another one from the fourth call on.
    fleet::GrpcFleetClient client(settings, [&] {
        return std::vector<std::string> { ++sourceCalls < 4 ? "127.0.0.1:1" : controller.endpoint() };
    });
    client.start();
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (!client.tables().table()->version() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    client.stop();
    LONGS_EQUAL(1, client.tables().table()->version());
}

// Guards against a slow recovery when all VMs restart together: controllers whose VMs accept connections but do not respond yet
// must not delay the first table.
TEST(GrpcFleetClient, UnresponsiveControllersDoNotDelayFirstTable)
{
    // If the client tried these controllers one after the other, each would delay it by the timeout of opening a watch.
    const std::array<UnresponsiveListener, 6> unresponsive;
    const DelayedController controller;
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    for (const auto& listener : unresponsive)
        settings.add_controllers(listener.endpoint());
    settings.add_controllers(controller.endpoint());
    fleet::GrpcFleetClient client(settings);
    const auto started = std::chrono::steady_clock::now();
    client.start();
    while (!client.tables().table()->version() && std::chrono::steady_clock::now() < started + waitTimeout)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const auto elapsed = std::chrono::steady_clock::now() - started;
    client.stop();
    CHECK(elapsed < recoveryLimit);
}

// As many controllers may stall at once as disks may be lost.
TEST(GrpcFleetClient, TwoSilentControllersDoNotDelayNewTableBeyondBound)
{
    const SilentController watched(1);
    const SilentController alsoSilent(0);
    const SilentController upToDate(2);
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    std::atomic<bool> changed { false };
    fleet::GrpcFleetClient client(settings, [&] {
        return changed ? std::vector { watched.endpoint(), alsoSilent.endpoint(), upToDate.endpoint() } : std::vector { watched.endpoint() };
    });
    client.start();
    waitForVersion(client, 1);
    changed = true;
    const auto accepted = std::chrono::steady_clock::now();
    waitForVersion(client, 2);
    const auto elapsed = std::chrono::steady_clock::now() - accepted;
    client.stop();
    CHECK(elapsed < propagationBound);
}

// Guards against a daemon that keeps an older table until the lease of its silent controller ends, although a peer acts by a newer one
// (review/8).
TEST(GrpcFleetClient, LeavesStaleControllerBeforeItsLeaseEnds)
{
    const SilentController silent(1);
    const SilentController upToDate(2);
    schema::DaemonSettings settings;
    settings.set_name("balancer");
    settings.mutable_balancer();
    std::atomic<bool> changed { false };
    fleet::GrpcFleetClient client(settings, [&] {
        return changed ? std::vector { silent.endpoint(), upToDate.endpoint() } : std::vector { silent.endpoint() };
    });
    client.start();
    waitForVersion(client, 1);
    changed = true;
    const auto reported = std::chrono::steady_clock::now();
    client.leaveStaleController(2);
    waitForVersion(client, 2);
    const auto elapsed = std::chrono::steady_clock::now() - reported;
    client.stop();
    CHECK(elapsed < fleet::watchLease);
}

// Guards against a call that no controller can parse and that is repeated until its timeout (review/7).
TEST(GrpcFleetClient, RejectsAnnouncementThatCannotBeParsedAtOnce)
{
    schema::DaemonSettings settings;
    settings.set_name("agent");
    settings.mutable_agent();
    settings.add_controllers("127.0.0.1:1");
    fleet::GrpcFleetClient client(settings);
    schema::ServerAnnouncement announcement;
    announcement.set_name("i-\xff\xfe");
    const auto startedAt = std::chrono::steady_clock::now();
    try {
        client.registerServer(announcement, registerTimeout);
        FAIL("the announcement was accepted");
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::InvalidArgument);
    }
    CHECK(std::chrono::steady_clock::now() - startedAt < interruptLimit);
}

TEST(GrpcFleetClient, InterruptCallsEndsPendingRegistration)
{
    schema::DaemonSettings settings;
    settings.set_name("agent");
    settings.mutable_agent();
    settings.add_controllers("127.0.0.1:1");
    fleet::GrpcFleetClient client(settings);
    client.start();
    std::atomic<bool> unavailable { false };
    std::thread registration([&] {
        try {
            client.registerServer({}, registerTimeout);
        } catch (const Error& error) {
            unavailable = error.kind() == ErrorKind::Unavailable;
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const auto interruptedAt = std::chrono::steady_clock::now();
    client.interruptCalls();
    registration.join();
    client.stop();
    CHECK(unavailable);
    CHECK(std::chrono::steady_clock::now() - interruptedAt < interruptLimit);
}
