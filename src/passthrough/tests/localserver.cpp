#include "passthrough/localserver.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

ServerBeat beatOf(const std::string& name, std::uint64_t start, std::uint64_t sequence, bool draining = false)
{
    return { .name = name, .service = "desk", .zone = "mandaue", .slots = 5, .draining = draining, .sequence = sequence, .startedAtMs = start };
}

constexpr std::chrono::milliseconds heartbeat { 770 };

} // namespace

// clang-format off
TEST_GROUP(LocalServer)
{
    ManualClock clock;
    LocalServer server { clock, heartbeat };
};
// clang-format on

TEST(LocalServer, EachStartIsSeenOnce)
{
    CHECK(server.accept(beatOf("i-1", 100, 4)) == BeatChange::NewStart);
    CHECK(server.accept(beatOf("i-1", 100, 5)) == BeatChange::None);
    // The same id, started again: its counts start anew.
    CHECK(server.accept(beatOf("i-1", 200, 1)) == BeatChange::NewStart);
    CHECK(server.accept(beatOf("i-2", 300, 1)) == BeatChange::NewStart);
}

TEST(LocalServer, LateHeartbeatsChangeNothing)
{
    server.accept(beatOf("i-1", 100, 5, true));
    CHECK(server.accept(beatOf("i-1", 100, 4)) == BeatChange::Outdated);
    CHECK(server.draining());
    server.accept(beatOf("i-2", 200, 1));
    // A partition held up the heartbeat of a start that has crashed.
    CHECK(server.accept(beatOf("i-1", 100, 9)) == BeatChange::Outdated);
    CHECK_FALSE(server.draining());
}

TEST(LocalServer, ADrainIsSeenWhenItStarts)
{
    server.accept(beatOf("i-1", 100, 1));
    CHECK(server.accept(beatOf("i-1", 100, 2, true)) == BeatChange::DrainStarted);
    CHECK(server.accept(beatOf("i-1", 100, 3, true)) == BeatChange::None);
}

TEST(LocalServer, AServerThatLeftStaysGone)
{
    server.accept(beatOf("i-1", 100, 1));
    CHECK_FALSE(server.leave("i-0"));
    CHECK(server.leave("i-1"));
    CHECK(server.accept(beatOf("i-1", 100, 2)) == BeatChange::Outdated);
    CHECK(server.left());
    CHECK(server.accept(beatOf("i-1", 200, 1)) == BeatChange::NewStart);
    CHECK_FALSE(server.left());
}

TEST(LocalServer, IsSilentOnceHeartbeatsAndPacketsStop)
{
    server.accept(beatOf("i-1", 100, 1));
    clock.advance(2 * heartbeat);
    CHECK_FALSE(server.silent());
    clock.advance(2 * heartbeat);
    CHECK(server.silent());
    server.noteAlive();
    CHECK_FALSE(server.silent());
}

TEST(LocalServer, TimeInWhichTheAgentItselfStoodStillIsNoSilence)
{
    server.accept(beatOf("i-1", 100, 1));
    server.noteRunning();
    // The VM freezes; the first packet after it comes before the next heartbeat.
    clock.advance(5 * heartbeat);
    server.noteRunning();
    CHECK_FALSE(server.silent());
    for (int step = 0; step < 7; ++step) {
        clock.advance(heartbeat / 2);
        server.noteRunning();
    }
    CHECK(server.silent());
}

// Load pattern: all VMs restart while servers are replaced, and some servers never come back.
TEST(LocalServer, AServerThatIsExpectedAndNotHeardIsSilent)
{
    CHECK_FALSE(server.silent());
    server.expect();
    CHECK_FALSE(server.silent());
    clock.advance(2 * heartbeat);
    CHECK(server.endedBeforeAgent());
    clock.advance(2 * heartbeat);
    CHECK(server.silent());
    server.accept(beatOf("i-1", 100, 1));
    CHECK_FALSE(server.silent());
    CHECK_FALSE(server.endedBeforeAgent());
}

TEST(LocalServer, AnAgentThatStopsBesideALiveServerSaysNothingOfItsEnd)
{
    CHECK_FALSE(server.endedBeforeAgent());
    server.accept(beatOf("i-1", 100, 1));
    clock.advance(2 * heartbeat);
    CHECK_FALSE(server.endedBeforeAgent());
    // A server that hands packets back and sends no heartbeats is about to end.
    clock.advance(heartbeat);
    server.noteAlive();
    CHECK(server.endedBeforeAgent());
    server.accept(beatOf("i-1", 100, 2));
    CHECK_FALSE(server.endedBeforeAgent());
    server.leave("i-1");
    CHECK(server.endedBeforeAgent());
}
