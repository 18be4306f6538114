#include "agent/internal/agentreport.h"

#include "admin.pb.h"
#include "admin/decisiontrace.h"
#include "admission/admission.h"
#include "agent/internal/flowtable.h"
#include "fleet.pb.h"
#include "fleet/fleettable.h"
#include "fleet/tableholder.h"
#include "foundation/error.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

using namespace clementinesill;
using namespace clementinesill::agent;

// Runs the agent's event loop on a separate thread, as the daemon does.
TEST_GROUP(AgentReport)
{
    boost::asio::io_context loop { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work = boost::asio::make_work_guard(loop);
    std::thread thread { [this] { loop.run(); } };
    ManualClock clock;
    FlowTable flows;
    admission::Admission admission { {}, clock };
    fleet::TableHolder tables;
    admin::DecisionTrace trace { 8 };
    AgentReport report { loop, { .identity = { .serverId = 4, .incarnation = 2 }, .service = "orders", .server = "orders-1", .flows = flows, .admission = admission, .tables = tables, .trace = trace, .clock = clock } };

    void teardown() override
    {
        work.reset();
        loop.stop();
        thread.join();
    }

    void setTable(std::uint64_t version)
    {
        schema::Table table;
        table.set_version(version);
        tables.replaceIfNewer(std::make_shared<const fleet::FleetTable>(table));
    }

    static fleet::FlowKey key(std::uint16_t port) { return { .caller = { .address = 0xcb007101, .port = port }, .service = { .address = 0xc633640a, .port = 80 } }; }
};

TEST(AgentReport, ListsMatchingFlowsUpToLimit)
{
    for (std::uint16_t port = 1; port <= 5; ++port)
        flows.insert(key(port), { .lastActivity = clock.now() });
    clock.advance(std::chrono::milliseconds(1500));
    schema::FlowQuery query;
    query.set_limit(2);
    const auto all = report.flows(query);
    LONGS_EQUAL(2, all.flows_size());
    LONGS_EQUAL(5, all.total());
    query.set_caller("203.0.113.1:3");
    const auto one = report.flows(query);
    LONGS_EQUAL(1, one.total());
    STRCMP_EQUAL("half_open", one.flows(0).state().c_str());
    LONGS_EQUAL(1500, one.flows(0).idle_ms());
    query.set_service("swatches");
    LONGS_EQUAL(0, report.flows(query).total());
}

TEST(AgentReport, IsReadyWithTableUnlessDraining)
{
    schema::DaemonReport status;
    report.report(status);
    CHECK_FALSE(status.ready());
    STRCMP_EQUAL("no table yet", status.reason().c_str());
    setTable(7);
    report.report(status);
    CHECK(status.ready());
    LONGS_EQUAL(7, status.version());
    report.setDraining(true);
    schema::DaemonReport draining;
    report.report(draining);
    CHECK_FALSE(draining.ready());
}

TEST(AgentReport, ThrowsUnavailableWhenLoopHasStopped)
{
    loop.stop();
    thread.join();
    thread = std::thread([] {});
    try {
        report.flows({});
        FAIL("no error");
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::Unavailable);
    }
}
