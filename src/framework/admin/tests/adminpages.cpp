#include "admin/adminpages.h"

#include "admin.pb.h"
#include "admin/decisiontrace.h"
#include "admin/iadminsource.h"
#include "admin/querystring.h"
#include "foundation/histogram.h"
#include "foundation/metrics.h"
#include "settings.pb.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::admin;

namespace {

// A role that is not ready until `ready` is set, and copies the query into the list of flows.
class FakeSource final : public IAdminSource {
public:
    void report(schema::DaemonReport& report) const override
    {
        report.set_version(9);
        report.set_ready(ready);
        report.set_reason(ready ? "" : "no table yet");
    }

    schema::FlowList flows(const schema::FlowQuery& query) const override
    {
        schema::FlowList list;
        list.set_total(query.limit());
        list.add_flows()->set_caller(query.caller());
        return list;
    }

    schema::DecisionList explain(const schema::ExplainQuery& query) const override { return trace.find(query.subject()); }

    bool ready = false;
    DecisionTrace trace { 2 };
};

schema::DecisionRecord decision(const std::string& flow, const std::string& reason)
{
    schema::DecisionRecord record;
    record.set_flow(flow);
    record.set_reason(reason);
    return record;
}

} // namespace

TEST_GROUP(AdminPages)
{
    schema::DaemonSettings settings;
    MetricsRegistry metrics;
    ManualClock clock;
    FakeSource source;

    void setup() override
    {
        settings.set_name("a1");
        settings.mutable_agent();
    }

    static nlohmann::json json(const AdminResponse& response) { return nlohmann::json::parse(response.body); }
};

TEST(AdminPages, ReadyOnlyBetweenStartAndDrain)
{
    AdminPages pages(settings, metrics, clock);
    LONGS_EQUAL(200, pages.handle("/health", {}).status);
    STRCMP_EQUAL("the role is starting\n", pages.handle("/ready", {}).body.c_str());
    pages.setStarted(&source);
    LONGS_EQUAL(503, pages.handle("/ready", {}).status);
    STRCMP_EQUAL("no table yet\n", pages.handle("/ready", {}).body.c_str());
    source.ready = true;
    LONGS_EQUAL(200, pages.handle("/ready", {}).status);
    pages.setDraining();
    LONGS_EQUAL(503, pages.handle("/ready", {}).status);
    LONGS_EQUAL(200, pages.handle("/health", {}).status);
}

TEST(AdminPages, StatusContainsDaemonRoleAndUptime)
{
    AdminPages pages(settings, metrics, clock);
    pages.setStarted(&source);
    clock.advance(std::chrono::seconds(3));
    const auto status = json(pages.handle("/status", {}));
    STRCMP_EQUAL("a1", status["daemon"].get<std::string>().c_str());
    STRCMP_EQUAL("ROLE_AGENT", status["role"].get<std::string>().c_str());
    STRCMP_EQUAL("3000", status["uptimeMs"].get<std::string>().c_str());
    STRCMP_EQUAL("9", status["version"].get<std::string>().c_str());
}

TEST(AdminPages, FlowsPassesQueryToSourceAndValidatesLimit)
{
    AdminPages pages(settings, metrics, clock);
    pages.setStarted(&source);
    const auto flows = json(pages.handle("/flows", { { "caller", "10.0.0.1:5" } }));
    STRCMP_EQUAL("10.0.0.1:5", flows["flows"][0]["caller"].get<std::string>().c_str());
    STRCMP_EQUAL("a1", flows["flows"][0]["daemon"].get<std::string>().c_str());
    STRCMP_EQUAL("100", flows["total"].get<std::string>().c_str());
    for (const auto* limit : { "0", "-1", "10001", "ten", "" })
        LONGS_EQUAL(400, pages.handle("/flows", { { "limit", limit } }).status);
}

TEST(AdminPages, ExplainReturnsLatestDecisionsOfFlow)
{
    AdminPages pages(settings, metrics, clock);
    pages.setStarted(&source);
    source.trace.record(decision("10.0.0.1:5", "dropped from the trace"));
    source.trace.record(decision("10.0.0.1:5", "first in rank"));
    source.trace.record(decision("10.0.0.2:6", "full"));
    const auto decisions = json(pages.handle("/explain", { { "subject", "10.0.0.1:5" } }))["decisions"];
    LONGS_EQUAL(1, decisions.size());
    STRCMP_EQUAL("first in rank", decisions[0]["reason"].get<std::string>().c_str());
    LONGS_EQUAL(400, pages.handle("/explain", {}).status);
}

TEST(AdminPages, HistogramsOmitsEmptyBuckets)
{
    metrics.histogram("request_seconds", { { "service", "orders" }, { "class", "post" } }).record(0.1);
    AdminPages pages(settings, metrics, clock);
    const auto series = json(pages.handle("/histograms", {}))["series"];
    LONGS_EQUAL(1, series.size());
    STRCMP_EQUAL("post", series[0]["labels"]["class"].get<std::string>().c_str());
    LONGS_EQUAL(1, series[0]["buckets"].size());
}

TEST(AdminPages, UnknownPathReturnsNotFoundWithListOfPages)
{
    AdminPages pages(settings, metrics, clock);
    const auto response = pages.handle("/nothing", {});
    LONGS_EQUAL(404, response.status);
    CHECK(json(response)["error"]["remedy"].get<std::string>().find("/metrics") != std::string::npos);
}

TEST(AdminPages, PercentDecodeReversesPercentEncode)
{
    CHECK(rc::check("decoding an encoded text returns the text", [](const std::string& text) {
        RC_ASSERT(percentDecode(percentEncode(text)) == text);
        percentDecode(text);
    }));
}
