#include "passthrough/localserver.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

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
    server.recordPortState(false);
    server.recordPortState(true);
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
    // The next process on the VM.
    server.recordPortState(false);
    server.recordPortState(true);
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
    server.expectHeartbeat("i-1", false);
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
    server.expectHeartbeat("i-1", false);
    // Only the agent was restarted: the server still runs.
    CHECK_FALSE(server.presumedEnded(portOpen));
    CHECK(server.presumedEnded(portClosed));
}

// Guards against a drain that is acknowledged and ignored: a server that restarts after its clock jumped back reports an earlier start
// than the instance before (review/5).
TEST(LocalServer, RestartWithEarlierStartTimeIsAcceptedOnceItKeepsSendingHeartbeats)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 2500, 1));
    clock.advance(heartbeatInterval);
    server.applyHeartbeat(makeHeartbeat("i-1", 2500, 2));
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1500, 1)) == HeartbeatResult::Unverified);
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1500, 2)) == HeartbeatResult::NewInstance);
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1500, 3, true)) == HeartbeatResult::DrainStarted);
    CHECK(server.draining());
}

// Guards against a delayed heartbeat of an instance that has ended, which reports a later or an earlier start: it must neither return
// nor end the drain of the one that runs.
TEST(LocalServer, DelayedHeartbeatsOfReplacedInstanceDoNotEndDrain)
{
    for (const std::uint64_t startedAt : { 200, 2000 }) {
        LocalServer restarted { clock, heartbeatInterval };
        restarted.applyHeartbeat(makeHeartbeat("i-1", startedAt, 1));
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            clock.advance(heartbeatInterval);
            restarted.applyHeartbeat(makeHeartbeat("i-1", 1000, sequence));
        }
        clock.advance(heartbeatInterval);
        CHECK(restarted.applyHeartbeat(makeHeartbeat("i-1", 1000, 4, true)) == HeartbeatResult::DrainStarted);
        for (std::uint64_t sequence = 2; sequence <= 6; ++sequence) {
            clock.advance(heartbeatInterval / 2);
            CHECK(restarted.applyHeartbeat(makeHeartbeat("i-1", startedAt, sequence)) == HeartbeatResult::Stale);
            clock.advance(heartbeatInterval / 2);
            CHECK(restarted.applyHeartbeat(makeHeartbeat("i-1", 1000, sequence + 3, true)) == HeartbeatResult::Unchanged);
            CHECK(restarted.draining());
        }
    }
}

// Heartbeats that a partition held up arrive together, after the instance that runs has missed one of its own.
TEST(LocalServer, DelayedHeartbeatsThatArriveTogetherDoNotVerifyTheirInstance)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    clock.advance(heartbeatInterval);
    server.applyHeartbeat(makeHeartbeat("i-1", 200, 1));
    server.applyHeartbeat(makeHeartbeat("i-1", 200, 2, true));
    clock.advance(2 * heartbeatInterval);
    for (std::uint64_t sequence = 2; sequence <= 5; ++sequence)
        CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, sequence)) == HeartbeatResult::Stale);
    CHECK(server.draining());
}

// Guards against an instance that was replaced by mistake and could never return.
TEST(LocalServer, ReplacedInstanceThatKeepsSendingHeartbeatsReturns)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 7));
    clock.advance(heartbeatInterval / 2);
    // The first heartbeat of an instance that ended at once, delayed.
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 2000, 1)) == HeartbeatResult::NewInstance);
    clock.advance(heartbeatInterval / 2);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 8)) == HeartbeatResult::Stale);
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 9)) == HeartbeatResult::NewInstance);
    CHECK(server.verified());
}

// Guards against a shutdown that names the server only: one of an earlier instance, delayed, ended the use of the one that runs.
TEST(LocalServer, InstanceThatKeepsSendingHeartbeatsOutlivesDelayedShutdownOfEarlierOne)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 1));
    CHECK(server.markShutDown("i-1"));
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 2)) == HeartbeatResult::Stale);
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 3)) == HeartbeatResult::Stale);
    // The process may have ended after these heartbeats were sent.
    CHECK(server.hasShutDown());
    CHECK(server.awaitsHealth());
    server.recordHealth(true);
    CHECK(server.applyHeartbeat(*server.confirmedHeartbeat()) == HeartbeatResult::NewInstance);
    CHECK_FALSE(server.hasShutDown());
}

// The clock's resolution or a jump may give two starts the same time.
TEST(LocalServer, RestartWithSameStartTimeIsAcceptedOnceItKeepsSendingHeartbeats)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 100, 9));
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 1)) == HeartbeatResult::Stale);
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 100, 2)) == HeartbeatResult::NewInstance);
}

// Guards against the first heartbeat of an instance that has ended, delayed until after the drain of the one that runs: one with a
// later start ended the drain.
TEST(LocalServer, DelayedFirstHeartbeatDoesNotEndDrain)
{
    for (const std::uint64_t startedAt : { 900, 1000, 1100 }) {
        for (const char* name : { "i-1", "i-2" }) {
            LocalServer drained { clock, heartbeatInterval };
            drained.applyHeartbeat(makeHeartbeat("i-1", 1000, 1));
            clock.advance(heartbeatInterval);
            drained.applyHeartbeat(makeHeartbeat("i-1", 1000, 2, true));
            clock.advance(heartbeatInterval);
            for (const std::uint64_t sequence : { 0, 1, 7 })
                CHECK(drained.applyHeartbeat(makeHeartbeat(name, startedAt, sequence)) != HeartbeatResult::NewInstance);
            CHECK(drained.draining());
        }
    }
}

// The same for several delayed heartbeats of several instances in any order, while those of the draining one are delayed too.
TEST(LocalServer, DelayedHeartbeatsDoNotEndDrain)
{
    CHECK(rc::check("a drain holds while the draining instance is heard every four intervals", [] {
        ManualClock clock;
        LocalServer drained { clock, heartbeatInterval };
        drained.applyHeartbeat(makeHeartbeat("i-1", 1000, 1));
        std::uint64_t sequence = 2;
        drained.applyHeartbeat(makeHeartbeat("i-1", 1000, sequence, true));
        auto sinceOwnHeartbeat = Duration::zero();
        for (int step = 0; step < 100; ++step) {
            const auto pause = heartbeatInterval * *rc::gen::inRange(0, 5) / 4;
            sinceOwnHeartbeat += pause;
            clock.advance(pause);
            if (sinceOwnHeartbeat >= 4 * heartbeatInterval || *rc::gen::inRange(0, 8) == 0) {
                drained.applyHeartbeat(makeHeartbeat("i-1", 1000, ++sequence, true));
                sinceOwnHeartbeat = Duration::zero();
            }
            drained.recordAgentActivity();
            const auto name = *rc::gen::element<std::string>("i-1", "i-1", "i-2");
            const auto startedAt = *rc::gen::element<std::uint64_t>(900, 1000, 1100);
            drained.applyHeartbeat(makeHeartbeat(name, startedAt, *rc::gen::inRange<std::uint64_t>(0, 200), *rc::gen::inRange(0, 10) == 0));
            drained.recordHealth(true);
            RC_ASSERT_FALSE(drained.confirmedHeartbeat().has_value());
            RC_ASSERT(drained.draining());
        }
    }));
}

// Guards against a drain that is never ended: the next instance is served whatever its clock says, also with the name and the start
// time of the one that drained and crashed.
TEST(LocalServer, InstanceAfterDrainedOneIsAcceptedOnceItKeepsSendingHeartbeats)
{
    for (const std::uint64_t startedAt : { 900, 1000, 1100 }) {
        LocalServer restarted { clock, heartbeatInterval };
        restarted.applyHeartbeat(makeHeartbeat("i-1", 1000, 9, true));
        for (int heartbeats = 1; heartbeats <= 6; ++heartbeats) {
            CHECK_FALSE(restarted.awaitsHealth());
            clock.advance(heartbeatInterval);
            CHECK(restarted.applyHeartbeat(makeHeartbeat("i-1", startedAt, heartbeats)) != HeartbeatResult::NewInstance);
        }
        CHECK(restarted.awaitsHealth());
        restarted.recordHealth(true);
        CHECK(restarted.applyHeartbeat(*restarted.confirmedHeartbeat()) == HeartbeatResult::NewInstance);
        CHECK_FALSE(restarted.closed());
        CHECK(restarted.verified());
    }
}

// Guards against a drain that ends while its server still answers that it drains: any number of delayed heartbeats may arrive, and
// the server's own may be delayed for any time.
TEST(LocalServer, HeartbeatsDoNotEndDrainOfServerThatAnswersThatItDrains)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 9, true));
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
        clock.advance(heartbeatInterval);
        CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1100, sequence)) == HeartbeatResult::Unverified);
        server.recordHealth(false);
        CHECK_FALSE(server.confirmedHeartbeat().has_value());
    }
    // An answer counts only if nothing has closed the server since.
    server.recordHealth(true);
    CHECK(server.confirmedHeartbeat().has_value());
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 10, true));
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1100, 51)) == HeartbeatResult::Unverified);
}

TEST(LocalServer, InstanceAfterDrainedOneIsAcceptedAtOnceIfItsPortWasClosedBefore)
{
    for (const std::uint64_t startedAt : { 900, 1000, 1100 }) {
        LocalServer restarted { clock, heartbeatInterval };
        restarted.applyHeartbeat(makeHeartbeat("i-1", 1000, 9, true));
        restarted.recordPortState(true);
        CHECK(restarted.awaitsProcessEnd());
        restarted.recordPortState(false);
        CHECK_FALSE(restarted.awaitsProcessEnd());
        // The next process sends a heartbeat before its port was checked.
        CHECK(restarted.applyHeartbeat(makeHeartbeat("i-1", startedAt, 1)) != HeartbeatResult::NewInstance);
        CHECK(restarted.awaitsNextProcess());
        CHECK_FALSE(restarted.confirmedHeartbeat().has_value());
        restarted.recordPortState(true);
        CHECK(restarted.confirmedHeartbeat().has_value());
        CHECK(restarted.applyHeartbeat(*restarted.confirmedHeartbeat()) == HeartbeatResult::NewInstance);
        CHECK_FALSE(restarted.closed());
    }
}

// Guards against a restart before the drain that is taken for the end of the process that drains.
TEST(LocalServer, PortStateBeforeDrainDoesNotEndIt)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 1, true));
    server.recordPortState(false);
    server.recordPortState(true);
    server.applyHeartbeat(makeHeartbeat("i-1", 1100, 1));
    CHECK_FALSE(server.closed());
    server.applyHeartbeat(makeHeartbeat("i-1", 1100, 2, true));
    server.recordPortState(true);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1200, 1)) == HeartbeatResult::Unverified);
    CHECK(server.draining());
}

// Guards against a delayed heartbeat that undoes a shutdown, also while the process still runs.
TEST(LocalServer, DelayedFirstHeartbeatDoesNotUndoShutdown)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 1));
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 2, true));
    server.markShutDown("i-1");
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1100, 1)) == HeartbeatResult::Unverified);
    CHECK(server.hasShutDown());
}

// Guards against a delayed drain of an instance that has ended, which takes the server that runs out of service.
TEST(LocalServer, OneDelayedDrainDoesNotCloseServerThatRuns)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 1));
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1100, 1, true)) == HeartbeatResult::Unverified);
    CHECK_FALSE(server.closed());
}

// Guards against an agent that starts, and does not know yet that an earlier one has acknowledged a drain.
TEST(LocalServer, HeartbeatBeforeTableDoesNotOpenServer)
{
    server.awaitTable();
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1100, 1)) == HeartbeatResult::Unverified);
    server.setTableKnown();
    server.expectHeartbeat("i-1", true);
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1100, 2)) == HeartbeatResult::Unverified);
    CHECK(server.draining());
}

TEST(LocalServer, FirstHeartbeatIsAcceptedOnceTableIsKnownOrServerDrains)
{
    server.awaitTable();
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 1));
    server.setTableKnown();
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1000, 2)) == HeartbeatResult::NewInstance);
    LocalServer draining { clock, heartbeatInterval };
    draining.awaitTable();
    CHECK(draining.applyHeartbeat(makeHeartbeat("i-1", 1000, 1, true)) == HeartbeatResult::NewInstance);
}

// Guards against an instance that counts as running because of two delayed heartbeats, while another one was heard in between.
TEST(LocalServer, HeartbeatsOfTwoInstancesInTurnVerifyNone)
{
    server.applyHeartbeat(makeHeartbeat("i-1", 1000, 1));
    server.applyHeartbeat(makeHeartbeat("i-1", 1100, 1));
    for (std::uint64_t sequence = 2; sequence <= 4; ++sequence) {
        clock.advance(heartbeatInterval / 2);
        server.applyHeartbeat(makeHeartbeat("i-1", 1000, sequence));
        clock.advance(heartbeatInterval / 4);
        server.applyHeartbeat(makeHeartbeat("i-1", 1100, sequence));
    }
    CHECK_FALSE(server.verified());
}

// Guards against an agent that forgets a drain when it restarts: the first heartbeat that it gets may be a delayed one.
TEST(LocalServer, OneHeartbeatDoesNotEndDrainOfExpectedServer)
{
    server.expectHeartbeat("i-1", true);
    CHECK(server.draining());
    clock.advance(heartbeatInterval);
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 2000, 4)) == HeartbeatResult::Unverified);
    CHECK(server.draining());
    CHECK(server.applyHeartbeat(makeHeartbeat("i-1", 1000, 9, true)) == HeartbeatResult::NewInstance);
    CHECK(server.draining());
}

// Guards against a shutdown that is acknowledged and ignored because the agent has just started.
TEST(LocalServer, ShutdownOfExpectedServerIsRecorded)
{
    server.expectHeartbeat("i-1", true);
    CHECK(server.markShutDown("i-1"));
    CHECK(server.hasShutDown());
    CHECK(server.presumedEnded(portOpen));
}
