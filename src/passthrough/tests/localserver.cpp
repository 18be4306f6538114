#include "passthrough/localserver.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

ServerHeartbeat makeHeartbeat(const std::string& name, std::uint64_t startedAtMs, std::uint64_t sequence, bool draining = false)
{
    return { .name = name, .service = "desk", .zone = "mandaue", .slots = 5, .draining = draining, .sequence = sequence, .startedAtMs = startedAtMs };
}

constexpr std::chrono::milliseconds heartbeatInterval { 770 };

bool portOpen() { return false; }
bool portClosed() { return true; }

} // namespace

// clang-format off
TEST_GROUP(LocalServer)
{
    ManualClock clock;
    LocalServer server { clock, heartbeatInterval };
};
// clang-format on

TEST(LocalServer, ReportsEachInstanceOnce)
{
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 4)) == HeartbeatResult::NewInstance);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 5)) == HeartbeatResult::Unchanged);
    // A restarted server keeps its name, and its sequence starts again.
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 200, 1)) == HeartbeatResult::NewInstance);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-2", 300, 1)) == HeartbeatResult::NewInstance);
}

TEST(LocalServer, IgnoresStaleHeartbeats)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 5, true));
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 4)) == HeartbeatResult::Stale);
    CHECK(server.draining());
    server.applyHeartbeat(makeHeartbeat("i-2", 200, 1));
    // A network partition delayed the heartbeat of an instance that has crashed.
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 9)) == HeartbeatResult::Stale);
    CHECK_FALSE(server.draining());
}

TEST(LocalServer, ReportsStartOfDrainOnce)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 2, true)) == HeartbeatResult::DrainStarted);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 3, true)) == HeartbeatResult::Unchanged);
}

TEST(LocalServer, IgnoresHeartbeatsAfterShutdown)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    CHECK_FALSE(server.markShutDown("i-0"));
    CHECK(server.markShutDown("i-1"));
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 2)) == HeartbeatResult::Stale);
    CHECK(server.hasShutDown());
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 200, 1)) == HeartbeatResult::NewInstance);
    CHECK_FALSE(server.hasShutDown());
}

TEST(LocalServer, IsSilentOnceHeartbeatsAndPacketsStop)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    clock.advance(2 * heartbeatInterval);
    CHECK_FALSE(server.silent());
    clock.advance(2 * heartbeatInterval);
    CHECK(server.silent());
    server.recordServerActivity();
    CHECK_FALSE(server.silent());
}

TEST(LocalServer, TimeWithAgentSuspendedIsNotSilence)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    server.recordAgentActivity();
    // The VM is suspended; after it resumes, a packet arrives before the next heartbeat.
    clock.advance(5 * heartbeatInterval);
    server.recordAgentActivity();
    CHECK_FALSE(server.silent());
    for (int step = 0; step < 7; ++step) {
        clock.advance(heartbeatInterval / 2);
        server.recordAgentActivity();
    }
    CHECK(server.silent());
}

// All VMs restart while servers are being replaced, and some servers never return.
TEST(LocalServer, ExpectedServerWithoutHeartbeatBecomesSilent)
{
    CHECK_FALSE(server.silent());
    server.expectHeartbeat();
    CHECK_FALSE(server.silent());
    clock.advance(2 * heartbeatInterval);
    CHECK(server.presumedEnded(portOpen));
    clock.advance(2 * heartbeatInterval);
    CHECK(server.silent());
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    CHECK_FALSE(server.silent());
    CHECK_FALSE(server.presumedEnded(portOpen));
}

TEST(LocalServer, PresumesServerEndedOnlyWithoutHeartbeats)
{
    CHECK_FALSE(server.presumedEnded(portClosed));
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    clock.advance(2 * heartbeatInterval);
    CHECK_FALSE(server.presumedEnded(portClosed));
    // A server that still sends packets but no heartbeats is shutting down.
    clock.advance(heartbeatInterval);
    server.recordServerActivity();
    CHECK(server.presumedEnded(portClosed));
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 2));
    CHECK_FALSE(server.presumedEnded(portClosed));
    server.markShutDown("i-1");
    CHECK(server.presumedEnded(portClosed));
}

// After the loss of all power an agent may be stopped within a second of its start. While its entry stayed in the table,
// searches ended there for up to 15 s.
TEST(LocalServer, ServerWithClosedPortHasEndedIfAgentStopsBeforeFirstHeartbeat)
{
    CHECK_FALSE(server.presumedEnded(portClosed));
    server.expectHeartbeat();
    // Only the agent was restarted: the server still runs.
    CHECK_FALSE(server.presumedEnded(portOpen));
    CHECK(server.presumedEnded(portClosed));
}
