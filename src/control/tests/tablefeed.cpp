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
    bool validLease = false;
    bool electingFirstLeader = false;
    bool leaderContact = true;
    bool upToDate = true;

    boost::asio::awaitable<CommandResult> submit(schema::Command) override { co_return CommandResult {}; }
    bool hasValidLease() const override { return validLease; }
    bool hasLeader() const override { return validLease || leaderContact; }
    bool isUpToDate() const override { return validLease || (leaderContact && upToDate); }
    bool mayBeElectingFirstLeader() const override { return electingFirstLeader; }
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

TEST(TableFeed, RejectsWhenGroupHasNoLeader)
{
    log.leaderContact = false;
    CHECK(feed.decide(1).action == FeedDecision::Action::Reject);
    CHECK(feed.decide(0).action == FeedDecision::Action::Reject);
}

// When all VMs start at the same time, every daemon requests its first table before a leader is elected. The controllers
// keep these streams open instead of rejecting them.
TEST(TableFeed, WaitsDuringFirstElectionInsteadOfRejecting)
{
    log.leaderContact = false;
    log.electingFirstLeader = true;
    CHECK(feed.decide(0).action == FeedDecision::Action::Wait);
    log.leaderContact = true;
    CHECK(feed.decide(0).action == FeedDecision::Action::Reject);
    log.validLease = true;
    CHECK(feed.decide(0).action == FeedDecision::Action::Send);
}

TEST(TableFeed, OnlyLeaderSendsFirstTable)
{
    CHECK(feed.decide(0).action == FeedDecision::Action::Reject);
    log.validLease = true;
    const auto first = feed.decide(0);
    CHECK(first.action == FeedDecision::Action::Send);
    CHECK(first.update->has_table());
}

TEST(TableFeed, NeverSendsOlderTableToDaemonWithNewerTable)
{
    CHECK(feed.decide(state.version() + 1).action == FeedDecision::Action::Wait);
    log.validLease = true;
    CHECK(feed.decide(state.version() + 1).action == FeedDecision::Action::Reject);
}

TEST(TableFeed, ControllerThatLacksCommittedChangesConfirmsNothing)
{
    log.upToDate = false;
    CHECK(feed.decide(state.version()).action == FeedDecision::Action::Reject);
    CHECK(feed.decide(state.version() - 1).action == FeedDecision::Action::Reject);
    CHECK(feed.decide(state.version() + 1).action == FeedDecision::Action::Reject);
}

TEST(TableFeed, SendsDeltaToDaemonOneVersionBehind)
{
    const auto decision = feed.decide(state.version() - 1);
    CHECK(decision.action == FeedDecision::Action::Send);
    CHECK(decision.update->has_delta());
    LONGS_EQUAL(state.version(), decision.version);
}
