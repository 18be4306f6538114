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

// A role that is not ready until the test says so, and echoes queries.
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

    static nlohmann::json json(const AdminReply& reply) { return nlohmann::json::parse(reply.body); }
};

TEST(AdminPages, ReadyOnlyBetweenStartAndDrain)
{
    AdminPages pages(settings, metrics, clock);
    LONGS_EQUAL(200, pages.reply("/health", {}).status);
    STRCMP_EQUAL("the role is starting\n", pages.reply("/ready", {}).body.c_str());
    pages.setStarted(&source);
    LONGS_EQUAL(503, pages.reply("/ready", {}).status);
    STRCMP_EQUAL("no table yet\n", pages.reply("/ready", {}).body.c_str());
    source.ready = true;
    LONGS_EQUAL(200, pages.reply("/ready", {}).status);
    pages.setDraining();
    LONGS_EQUAL(503, pages.reply("/ready", {}).status);
    LONGS_EQUAL(200, pages.reply("/health", {}).status);
}

TEST(AdminPages, StatusNamesDaemonRoleAndUptime)
{
    AdminPages pages(settings, metrics, clock);
    pages.setStarted(&source);
    clock.advance(std::chrono::seconds(3));
    const auto status = json(pages.reply("/status", {}));
    STRCMP_EQUAL("a1", status["daemon"].get<std::string>().c_str());
    STRCMP_EQUAL("ROLE_AGENT", status["role"].get<std::string>().c_str());
    STRCMP_EQUAL("3000", status["uptimeMs"].get<std::string>().c_str());
    STRCMP_EQUAL("9", status["version"].get<std::string>().c_str());
}

TEST(AdminPages, FlowsPassTheConditionsOnAndBoundTheLimit)
{
    AdminPages pages(settings, metrics, clock);
    pages.setStarted(&source);
    const auto flows = json(pages.reply("/flows", { { "caller", "10.0.0.1:5" } }));
    STRCMP_EQUAL("10.0.0.1:5", flows["flows"][0]["caller"].get<std::string>().c_str());
    STRCMP_EQUAL("a1", flows["flows"][0]["daemon"].get<std::string>().c_str());
    STRCMP_EQUAL("100", flows["total"].get<std::string>().c_str());
    for (const auto* limit : { "0", "-1", "10001", "ten", "" })
        LONGS_EQUAL(400, pages.reply("/flows", { { "limit", limit } }).status);
}

TEST(AdminPages, ExplainFindsTheLastDecisionsOfAFlow)
{
    AdminPages pages(settings, metrics, clock);
    pages.setStarted(&source);
    source.trace.note(decision("10.0.0.1:5", "dropped from the trace"));
    source.trace.note(decision("10.0.0.1:5", "first in rank"));
    source.trace.note(decision("10.0.0.2:6", "full"));
    const auto decisions = json(pages.reply("/explain", { { "subject", "10.0.0.1:5" } }))["decisions"];
    LONGS_EQUAL(1, decisions.size());
    STRCMP_EQUAL("first in rank", decisions[0]["reason"].get<std::string>().c_str());
    LONGS_EQUAL(400, pages.reply("/explain", {}).status);
}

TEST(AdminPages, HistogramsLeaveEmptyBucketsOut)
{
    metrics.histogram("request_seconds", { { "service", "orders" }, { "class", "post" } }).record(0.1);
    AdminPages pages(settings, metrics, clock);
    const auto series = json(pages.reply("/histograms", {}))["series"];
    LONGS_EQUAL(1, series.size());
    STRCMP_EQUAL("post", series[0]["labels"]["class"].get<std::string>().c_str());
    LONGS_EQUAL(1, series[0]["buckets"].size());
}

TEST(AdminPages, UnknownPageNamesTheOthers)
{
    AdminPages pages(settings, metrics, clock);
    const auto reply = pages.reply("/nothing", {});
    LONGS_EQUAL(404, reply.status);
    CHECK(json(reply)["error"]["remedy"].get<std::string>().find("/metrics") != std::string::npos);
}

TEST(AdminPages, QueryTextsSurviveEncoding)
{
    CHECK(rc::check("any text can be decoded again", [](const std::string& text) {
        RC_ASSERT(percentDecode(percentEncode(text)) == text);
        percentDecode(text);
    }));
}
