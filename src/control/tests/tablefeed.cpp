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
    bool isElecting = false;
    bool leaderConnected = true;

    boost::asio::awaitable<CommandResult> submit(schema::Command) override { co_return CommandResult {}; }
    bool isLeader() const override { return leads; }
    bool hasLeader() const override { return leads || leaderConnected; }
    bool mayBeElecting() const override { return isElecting; }
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

TEST(TableFeed, RejectsWithoutLiveLease)
{
    log.leaderConnected = false;
    CHECK(feed.decide(1).action == FeedDecision::Action::Reject);
    CHECK(feed.decide(0).action == FeedDecision::Action::Reject);
}

// When all VMs start at the same time, every daemon requests its first table before a leader is elected. The controllers
// keep these streams open instead of rejecting them.
TEST(TableFeed, WaitsDuringFirstElectionInsteadOfRejecting)
{
    log.leaderConnected = false;
    log.isElecting = true;
    CHECK(feed.decide(0).action == FeedDecision::Action::Wait);
    log.leaderConnected = true;
    CHECK(feed.decide(0).action == FeedDecision::Action::Reject);
    log.leads = true;
    CHECK(feed.decide(0).action == FeedDecision::Action::Send);
}

TEST(TableFeed, OnlyLeaderSendsFirstTable)
{
    CHECK(feed.decide(0).action == FeedDecision::Action::Reject);
    log.leads = true;
    const auto first = feed.decide(0);
    CHECK(first.action == FeedDecision::Action::Send);
    CHECK(first.update->has_table());
}

TEST(TableFeed, NeverSendsOlderTableToDaemonWithNewerTable)
{
    CHECK(feed.decide(state.version() + 1).action == FeedDecision::Action::Wait);
    log.leads = true;
    CHECK(feed.decide(state.version() + 1).action == FeedDecision::Action::Reject);
}

TEST(TableFeed, SendsDeltaToDaemonOneVersionBehind)
{
    const auto decision = feed.decide(state.version() - 1);
    CHECK(decision.action == FeedDecision::Action::Send);
    CHECK(decision.update->has_delta());
    LONGS_EQUAL(state.version(), decision.version);
}
