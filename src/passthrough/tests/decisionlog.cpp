#include "passthrough/internal/decisionlog.h"

#include "dataplane/types/loadnotice.h"
#include "fleet/fleettable.h"
#include "foundation/log.h"
#include "passthrough/admissionmonitor.h"
#include "passthrough/tests/agentfixture.h"
#include "passthrough/types/entrydecision.h"
#include "passthrough/types/relaydecisioncontext.h"
#include "testing/stdoutcapture.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(DecisionLog)
{
    AgentFixture agent { 1 };
    StdoutCapture output;

    void setup() override { configureLog({ .standardOutput = true, .linesPerSecond = 0, .daemon = "agent-1" }); }

    void teardown() override
    {
        output.restore();
        configureLog({ .standardOutput = true });
    }

    // Routes the packet and returns the log line of the decision; null if there is none.
    nlohmann::json decideAndLog(const FlowPacket& packet, const Search& search)
    {
        const auto decision = agent.router.decide(search, packet, agent.view());
        logDecision(decision, search, packet, { .tableVersion = 11, .tableAge = std::chrono::milliseconds(40), .outstanding = 2 });
        const auto text = output.contents();
        return text.empty() ? nlohmann::json() : nlohmann::json::parse(text);
    }

    nlohmann::json decideAndLog(const FlowPacket& packet) { return decideAndLog(packet, agent.search()); }
};
// clang-format on

TEST(DecisionLog, RequestIdConsistsOfFlowAndSynSequence)
{
    const auto line = decideAndLog(synPacket(40001, 1));
    STRCMP_EQUAL("opening_taken", line["event"].get<std::string>().c_str());
    STRCMP_EQUAL("100.64.0.7:40001-198.18.0.1:443#1000", line["request"].get<std::string>().c_str());
    STRCMP_EQUAL("1", line["copies"].get<std::string>().c_str());
    STRCMP_EQUAL("40", line["table_age_ms"].get<std::string>().c_str());
}

// Covers the events of an agent's decisions except opening_taken and flow_asked.
TEST(DecisionLog, LogsEachDecisionThatAffectsRequest)
{
    auto visitedAll = agent.search();
    visitedAll.visited = { 2, 3 };
    decideAndLog(synPacket(1));
    decideAndLog(synPacket(2));
    const auto forwarded = decideAndLog(synPacket(3));
    STRCMP_EQUAL("opening_passed_on", forwarded["event"].get<std::string>().c_str());
    STRCMP_EQUAL("busy", forwarded["obstacle"].get<std::string>().c_str());
    const auto rejected = decideAndLog(synPacket(4, 1), visitedAll);
    STRCMP_EQUAL("opening_refused", rejected["event"].get<std::string>().c_str());
    CHECK(rejected.contains("remedy"));
    auto searchFromNewerTable = visitedAll;
    searchFromNewerTable.route.tableVersion = agent.table->version() + 1;
    STRCMP_EQUAL("opening_dropped", decideAndLog(synPacket(5, 1), searchFromNewerTable)["event"].get<std::string>().c_str());
    STRCMP_EQUAL("flow_passed_on", decideAndLog(callerPacket(5000, 0, 1001, 9))["event"].get<std::string>().c_str());
    visitedAll.visited = { 2, 3, 4 };
    STRCMP_EQUAL("packet_dropped", decideAndLog(callerPacket(5000, 0, 1001, 9), visitedAll)["event"].get<std::string>().c_str());
    agent.openFlow(7);
    CHECK(decideAndLog(callerPacket(5000, 0, 1001, 7)).is_null());
    auto forwardedSearch = agent.search();
    forwardedSearch.route.flags |= dataplane::Route::forwardedByAgent;
    STRCMP_EQUAL("flow_found", decideAndLog(callerPacket(5000, 0, 1001, 7), forwardedSearch)["event"].get<std::string>().c_str());
    agent.clock.advance(4 * testHeartbeatInterval);
    const auto reset = decideAndLog(callerPacket(5000, 0, 1001, 7));
    STRCMP_EQUAL("flow_reset", reset["event"].get<std::string>().c_str());
    STRCMP_EQUAL("server_dead", reset["reason"].get<std::string>().c_str());
}

TEST(DecisionLog, BalancerLogsSameRequestId)
{
    logDecision(EntryDecision { .action = EntryAction::Reset, .reason = EntryReason::NoRoute }, synPacket(), 5);
    const auto line = nlohmann::json::parse(output.contents());
    STRCMP_EQUAL("opening_refused", line["event"].get<std::string>().c_str());
    STRCMP_EQUAL("100.64.0.7:40001-198.18.0.1:443#1000", line["request"].get<std::string>().c_str());
    logDecision(EntryDecision { .action = EntryAction::Forward, .reason = EntryReason::CacheHit }, callerPacket(5000), 5);
    CHECK(output.contents().empty());
}

// Guards against a rejection at the entry whose cause cannot be found in the logs.
TEST(DecisionLog, BalancerLogsRejectionAndNotice)
{
    configureLog({ .level = LogLevel::Debug, .standardOutput = true, .linesPerSecond = 0, .daemon = "balancer-1" });
    logDecision(EntryDecision { .action = EntryAction::Reset, .reason = EntryReason::ServiceFull }, synPacket(), 5);
    logNotice({ .level = dataplane::LoadLevel::Full, .priority = 2, .validity = std::chrono::milliseconds(100), .servers = { 3, 7 } }, 1);
    std::istringstream lines(output.contents());
    std::string rejection;
    std::string notice;
    std::getline(lines, rejection);
    std::getline(lines, notice);
    const auto rejectionLine = nlohmann::json::parse(rejection);
    STRCMP_EQUAL("service_full", rejectionLine["reason"].get<std::string>().c_str());
    CHECK(rejectionLine.contains("remedy"));
    const auto noticeLine = nlohmann::json::parse(notice);
    STRCMP_EQUAL("load_notice", noticeLine["event"].get<std::string>().c_str());
    STRCMP_EQUAL("3,7", noticeLine["servers"].get<std::string>().c_str());
    STRCMP_EQUAL("full", noticeLine["load"].get<std::string>().c_str());
}

TEST(DecisionLog, AdmissionMonitorReportsOnlyChanges)
{
    AdmissionMonitor monitor;
    CHECK_FALSE(monitor.update(RelayReason::Admitted));
    CHECK(monitor.update(RelayReason::Busy) == RelayReason::Busy);
    CHECK_FALSE(monitor.update(RelayReason::Busy));
    CHECK_FALSE(monitor.update(RelayReason::WrongTarget));
    CHECK(monitor.update(RelayReason::ColdStart) == RelayReason::ColdStart);
    CHECK(monitor.update(RelayReason::Admitted) == RelayReason::Admitted);
}
