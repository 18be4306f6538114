#include "control/tablefeed.h"

#include "control.pb.h"
#include "control/fleetstate.h"
#include "control/icommandlog.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

class FakeCommandLog final : public ICommandLog {
public:
    bool leads = false;
    bool electing = false;
    bool hears = true;

    boost::asio::awaitable<CommandResult> submit(schema::Command) override { co_return CommandResult {}; }
    bool isLeader() const override { return leads; }
    bool hasLeader() const override { return leads || hears; }
    bool mayBeElecting() const override { return electing; }
    std::vector<std::string> memberEndpoints() const override { return {}; }
    std::string leaderEndpoint() const override { return {}; }
    void fillStatus(schema::StatusResponse&) const override { }
};

} // namespace

// clang-format off
TEST_GROUP(TableFeed)
{
    FakeCommandLog log;
    FleetState state;
    TableFeed feed { state, log };

    void setup() override
    {
        schema::Command command;
        command.mutable_found_fleet()->set_hash_seed(1);
        state.apply(command);
        schema::Command zone;
        zone.mutable_config()->add_zones()->set_name("mandaue");
        state.apply(zone);
    }
};
// clang-format on

TEST(TableFeed, ControllerWithoutLeaseRefuses)
{
    log.hears = false;
    CHECK(feed.next(1).action == FeedDecision::Action::Refuse);
    CHECK(feed.next(0).action == FeedDecision::Action::Refuse);
}

// Load pattern: all VMs start together, and every daemon asks for its first table before a leader is elected.
TEST(TableFeed, AControllerThatHasJustStartedLetsDaemonsWaitForItsGroupsLeader)
{
    log.hears = false;
    log.electing = true;
    CHECK(feed.next(0).action == FeedDecision::Action::Wait);
    log.hears = true;
    CHECK(feed.next(0).action == FeedDecision::Action::Refuse);
    log.leads = true;
    CHECK(feed.next(0).action == FeedDecision::Action::Send);
}

TEST(TableFeed, FirstTableComesFromTheLeaderOnly)
{
    CHECK(feed.next(0).action == FeedDecision::Action::Refuse);
    log.leads = true;
    const auto first = feed.next(0);
    CHECK(first.action == FeedDecision::Action::Send);
    CHECK(first.update->has_table());
}

TEST(TableFeed, DaemonAheadOfAFollowerWaitsAndIsNeverSentBack)
{
    CHECK(feed.next(state.version() + 1).action == FeedDecision::Action::Wait);
    log.leads = true;
    CHECK(feed.next(state.version() + 1).action == FeedDecision::Action::Refuse);
}

TEST(TableFeed, DaemonOneVersionBehindIsSentADelta)
{
    const auto decision = feed.next(state.version() - 1);
    CHECK(decision.action == FeedDecision::Action::Send);
    CHECK(decision.update->has_delta());
    LONGS_EQUAL(state.version(), decision.version);
}
