#include "passthrough/internal/decisionlines.h"

#include "fleet/fleettable.h"
#include "foundation/log.h"
#include "passthrough/admissionwatch.h"
#include "passthrough/tests/relayagent.h"
#include "passthrough/types/entrydecision.h"
#include "passthrough/types/relayinputs.h"
#include "testing/pipeasoutput.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(DecisionLines)
{
    RelayAgent agent { 1 };
    PipeAsOutput output;

    void setup() override { configureLog({ .standardOutput = true, .linesPerSecond = 0, .daemon = "agent-1" }); }

    void teardown() override
    {
        output.restore();
        configureLog({ .standardOutput = true });
    }

    // Decides as the agent would and returns the line that tells of it; null if there is none.
    nlohmann::json lineOf(const FlowPacket& packet, const Search& search)
    {
        const auto decision = agent.router.decide(search, packet, agent.view());
        logDecision(decision, search, packet, { .tableVersion = 11, .tableAge = std::chrono::milliseconds(40), .outstanding = 2 });
        const auto text = output.contents();
        return text.empty() ? nlohmann::json() : nlohmann::json::parse(text);
    }

    nlohmann::json lineOf(const FlowPacket& packet) { return lineOf(packet, agent.search()); }
};
// clang-format on

TEST(DecisionLines, ATakenRequestIsNamedByFlowAndOpeningSequence)
{
    const auto line = lineOf(opening(40001, 1));
    STRCMP_EQUAL("opening_taken", line["event"].get<std::string>().c_str());
    STRCMP_EQUAL("100.64.0.7:40001-198.18.0.1:443#1000", line["request"].get<std::string>().c_str());
    STRCMP_EQUAL("1", line["copies"].get<std::string>().c_str());
    STRCMP_EQUAL("40", line["table_age_ms"].get<std::string>().c_str());
}

// Load pattern: an evening on which everything that can happen to a request does.
TEST(DecisionLines, EachDecisionThatTouchesARequestHasALine)
{
    auto full = agent.search();
    full.visited = { 2, 3 };
    lineOf(opening(1));
    lineOf(opening(2));
    const auto passed = lineOf(opening(3));
    STRCMP_EQUAL("opening_passed_on", passed["event"].get<std::string>().c_str());
    STRCMP_EQUAL("busy", passed["obstacle"].get<std::string>().c_str());
    const auto refused = lineOf(opening(4, 1), full);
    STRCMP_EQUAL("opening_refused", refused["event"].get<std::string>().c_str());
    CHECK(refused.contains("remedy"));
    auto newer = full;
    newer.route.tableVersion = agent.table->version() + 1;
    STRCMP_EQUAL("opening_dropped", lineOf(opening(5, 1), newer)["event"].get<std::string>().c_str());
    STRCMP_EQUAL("flow_passed_on", lineOf(fromCaller(5000, 0, 1001, 9))["event"].get<std::string>().c_str());
    full.visited = { 2, 3, 4 };
    STRCMP_EQUAL("packet_dropped", lineOf(fromCaller(5000, 0, 1001, 9), full)["event"].get<std::string>().c_str());
    agent.open(7);
    CHECK(lineOf(fromCaller(5000, 0, 1001, 7)).is_null());
    auto passedOn = agent.search();
    passedOn.route.flags |= dataplane::Route::passedOn;
    STRCMP_EQUAL("flow_found", lineOf(fromCaller(5000, 0, 1001, 7), passedOn)["event"].get<std::string>().c_str());
    agent.clock.advance(4 * testHeartbeat);
    const auto reset = lineOf(fromCaller(5000, 0, 1001, 7));
    STRCMP_EQUAL("flow_reset", reset["event"].get<std::string>().c_str());
    STRCMP_EQUAL("server_dead", reset["reason"].get<std::string>().c_str());
}

TEST(DecisionLines, ABalancersDecisionsHaveTheSameId)
{
    logDecision(EntryDecision { .action = EntryAction::Reset, .reason = EntryReason::NoRoute }, opening(), 5);
    const auto line = nlohmann::json::parse(output.contents());
    STRCMP_EQUAL("opening_refused", line["event"].get<std::string>().c_str());
    STRCMP_EQUAL("100.64.0.7:40001-198.18.0.1:443#1000", line["request"].get<std::string>().c_str());
    logDecision(EntryDecision { .action = EntryAction::Forward, .reason = EntryReason::CacheHit }, fromCaller(5000), 5);
    CHECK(output.contents().empty());
}

TEST(DecisionLines, AdmissionIsToldWhenItChanges)
{
    AdmissionWatch watch;
    CHECK_FALSE(watch.note(RelayReason::Admitted));
    CHECK(watch.note(RelayReason::Busy) == RelayReason::Busy);
    CHECK_FALSE(watch.note(RelayReason::Busy));
    CHECK_FALSE(watch.note(RelayReason::WrongService));
    CHECK(watch.note(RelayReason::Cold) == RelayReason::Cold);
    CHECK(watch.note(RelayReason::Admitted) == RelayReason::Admitted);
}
