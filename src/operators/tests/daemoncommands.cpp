#include "operators/internal/daemoncommands.h"

#include "admin.pb.h"
#include "admin/adminpages.h"
#include "admin/adminserver.h"
#include "admin/iadminsource.h"
#include "foundation/error.h"
#include "foundation/histogram.h"
#include "foundation/metrics.h"
#include "foundation/seededrandom.h"
#include "operators/adminclient.h"
#include "operators/commandline.h"
#include "settings.pb.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

using namespace clementinesill;
using namespace clementinesill::operators;

namespace {

constexpr auto firstEndpoint = "127.0.0.1:23060";
constexpr auto secondEndpoint = "127.0.0.1:23061";
constexpr auto unusedEndpoint = "127.0.0.1:23062";

// A daemon with one flow and one decision, served by the real admin server.
class FakeDaemon final : public admin::IAdminSource {
public:
    FakeDaemon(const std::string& name, const std::string& endpoint, std::uint64_t decisionTimeMs)
        : m_settings(makeSettings(name))
        , m_decisionTimeMs(decisionTimeMs)
    {
        m_pages.setStarted(this);
        m_server.emplace(endpoint, m_pages);
    }

    void report(schema::DaemonReport&) const override { }

    schema::FlowList flows(const schema::FlowQuery& query) const override
    {
        schema::FlowList list;
        list.set_total(3);
        auto& flow = *list.add_flows();
        flow.set_caller("10.0.0.1:5");
        flow.set_service(query.service());
        return list;
    }

    schema::DecisionList explain(const schema::ExplainQuery& query) const override
    {
        schema::DecisionList list;
        if (query.subject() != "10.0.0.1:5")
            return list;
        auto& decision = *list.add_decisions();
        decision.set_time_ms(m_decisionTimeMs);
        decision.set_reason("first in rank");
        return list;
    }

    void explainPlacement(const schema::PlacementQuery& query, schema::PlacementList& list) const override
    {
        auto& record = *list.add_records();
        record.set_route(query.address());
        record.set_service("orders");
        auto& candidate = *record.add_candidates();
        candidate.set_server("server-1");
        candidate.set_load("full");
        candidate.set_full_priority(2);
        candidate.set_expires_in_ms(40);
    }

    MetricsRegistry metrics;

private:
    static schema::DaemonSettings makeSettings(const std::string& name)
    {
        schema::DaemonSettings settings;
        settings.set_name(name);
        settings.set_zone("zone-" + name);
        return settings;
    }

    schema::DaemonSettings m_settings;
    std::uint64_t m_decisionTimeMs;
    ManualClock m_clock;
    admin::AdminPages m_pages { m_settings, metrics, m_clock };
    std::optional<admin::AdminServer> m_server;
};

} // namespace

TEST_GROUP(DaemonCommands)
{
    ManualClock clock;
    SeededRandom random { 1 };
    std::ostringstream out;
    std::ostringstream err;

    int run(std::vector<std::string> arguments, const std::string& daemons)
    {
        arguments.insert(arguments.end(), { "--daemon", daemons, "--output", "json", "--timeout", "5s" });
        out.str("");
        err.str("");
        return runCommandLine(arguments, { .out = out, .err = err, .clock = clock, .random = random, .sleep = [](Duration) {}, .shouldStop = [] { return true; } });
    }

    nlohmann::json printed() { return nlohmann::json::parse(out.str()); }
};

TEST(DaemonCommands, FlowsMergesListsOfAllDaemons)
{
    const FakeDaemon first("a1", firstEndpoint, 1);
    const FakeDaemon second("a2", secondEndpoint, 2);
    LONGS_EQUAL(0, run({ "flows", "--service", "orders & more" }, std::string(firstEndpoint) + "," + secondEndpoint));
    const auto list = printed();
    STRCMP_EQUAL("6", list["total"].get<std::string>().c_str());
    STRCMP_EQUAL("a1", list["flows"][0]["daemon"].get<std::string>().c_str());
    STRCMP_EQUAL("a2", list["flows"][1]["daemon"].get<std::string>().c_str());
    STRCMP_EQUAL("orders & more", list["flows"][0]["service"].get<std::string>().c_str());
    LONGS_EQUAL(2, run({ "flows", "--limit", "0" }, firstEndpoint));
}

TEST(DaemonCommands, ReportsUnreachableDaemonAfterOtherResults)
{
    const FakeDaemon first("a1", firstEndpoint, 1);
    LONGS_EQUAL(5, run({ "flows" }, std::string(unusedEndpoint) + "," + firstEndpoint));
    LONGS_EQUAL(1, printed()["flows"].size());
    CHECK(err.str().find(unusedEndpoint) != std::string::npos);
}

TEST(DaemonCommands, ExplainSortsDecisionsByTime)
{
    const FakeDaemon first("a1", firstEndpoint, 2000);
    const FakeDaemon second("a2", secondEndpoint, 1000);
    LONGS_EQUAL(0, run({ "explain", "10.0.0.1:5" }, std::string(firstEndpoint) + "," + secondEndpoint));
    STRCMP_EQUAL("a2", printed()["decisions"][0]["daemon"].get<std::string>().c_str());
    LONGS_EQUAL(7, run({ "explain", "10.0.0.9:5" }, firstEndpoint));
}

// Guards against a filter by the zone of the servers instead of the balancers, and against lost fields.
TEST(DaemonCommands, ExplainPlacementShowsBalancersOfZone)
{
    const FakeDaemon first("a1", firstEndpoint, 1);
    const FakeDaemon second("a2", secondEndpoint, 2);
    const auto daemons = std::string(firstEndpoint) + "," + secondEndpoint;
    LONGS_EQUAL(0, run({ "explain-placement", "198.18.0.1:443" }, daemons));
    LONGS_EQUAL(2, printed()["records"].size());
    LONGS_EQUAL(0, run({ "explain-placement", "198.18.0.1:443", "--zone", "zone-a2" }, daemons));
    const auto records = printed()["records"];
    LONGS_EQUAL(1, records.size());
    STRCMP_EQUAL("a2", records[0]["daemon"].get<std::string>().c_str());
    STRCMP_EQUAL("198.18.0.1:443", records[0]["route"].get<std::string>().c_str());
    LONGS_EQUAL(2, records[0]["candidates"][0]["fullPriority"].get<int>());
    LONGS_EQUAL(7, run({ "explain-placement", "198.18.0.1:443", "--zone", "zone-a3" }, daemons));
    LONGS_EQUAL(2, run({ "explain-placement", "orders" }, firstEndpoint));
}

TEST(DaemonCommands, HistogramSumsSeriesOfSameServiceAndClass)
{
    FakeDaemon first("a1", firstEndpoint, 1);
    FakeDaemon second("a2", secondEndpoint, 1);
    for (auto* daemon : { &first, &second })
        daemon->metrics.histogram("request_seconds", { { "service", "orders" }, { "class", "post" } }).record(0.1);
    second.metrics.histogram("request_seconds", { { "service", "swatches" }, { "class", "get" } }).record(1000);
    LONGS_EQUAL(0, run({ "histogram", "request_seconds" }, std::string(firstEndpoint) + "," + secondEndpoint));
    const auto series = printed()["series"];
    LONGS_EQUAL(2, series.size());
    const auto& orders = series[series[0]["labels"]["service"] == "orders" ? 0 : 1];
    STRCMP_EQUAL("2", orders["count"].get<std::string>().c_str());
    STRCMP_EQUAL("2", orders["buckets"][0]["count"].get<std::string>().c_str());
    LONGS_EQUAL(7, run({ "histogram", "none" }, firstEndpoint));
}

TEST(DaemonCommands, AdminEndpointRejectsUnknownPaths)
{
    const FakeDaemon first("a1", firstEndpoint, 1);
    STRCMP_EQUAL("ok\n", fetchAdminPage(firstEndpoint, "/health", std::chrono::seconds(5)).c_str());
    CHECK_THROWS(Error, fetchAdminPage(firstEndpoint, "/other", std::chrono::seconds(5)));
}

TEST(DaemonCommands, ThrowsErrorIfAdminEndpointIsInUse)
{
    const FakeDaemon first("a1", firstEndpoint, 1);
    CHECK_THROWS(Error, FakeDaemon("a2", firstEndpoint, 1));
}
