#include "agent/internal/agentreport.h"

#include "admin.pb.h"
#include "admin/decisiontrace.h"
#include "admission/iadmission.h"
#include "agent/iflowtable.h"
#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "foundation/error.h"
#include "foundation/iclock.h"

#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <mutex>

namespace clementinesill::agent {

namespace {

constexpr std::chrono::seconds loopTimeout { 2 };
constexpr int defaultFlowLimit = 100;

const char* stateName(FlowState state)
{
    switch (state) {
    case FlowState::HalfOpen:
        return "half_open";
    case FlowState::Established:
        return "established";
    case FlowState::Closing:
        return "closing";
    }
    return "unknown";
}

std::uint64_t milliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

AgentReport::AgentReport(boost::asio::io_context& loop, const AgentReportOptions& options)
    : m_loop(loop)
    , m_options(options)
{
}

void AgentReport::runOnLoop(const std::function<void()>& read) const
{
    // Shared, since the loop may run the handler after this call has timed out; the handler then must not call read.
    struct Call {
        std::mutex mutex;
        bool timedOut = false;
        std::promise<void> done;
    };
    const auto call = std::make_shared<Call>();
    boost::asio::post(m_loop, [call, &read] {
        const std::lock_guard lock(call->mutex);
        if (call->timedOut)
            return;
        read();
        call->done.set_value();
    });
    auto done = call->done.get_future();
    if (done.wait_for(loopTimeout) == std::future_status::ready)
        return;
    const std::lock_guard lock(call->mutex);
    call->timedOut = true;
    if (done.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        throw Error(ErrorKind::Unavailable, "the agent is busy or shutting down", "try again");
}

void AgentReport::report(schema::DaemonReport& report) const
{
    const auto table = m_options.tables.table();
    report.set_version(table->version());
    runOnLoop([&] {
        const auto load = m_options.admission.load();
        report.set_flows(m_options.flows.openFlowCount());
        report.set_in_progress(load.requests);
        report.set_warmup_limit(load.limit);
        report.set_draining(m_draining);
    });
    const bool zoneOut = [&] {
        const auto* server = table->server(m_options.identity.serverId);
        return server && server->zoneOut;
    }();
    report.set_ready(table->version() && !zoneOut && !report.draining());
    if (!table->version())
        report.set_reason("no table yet");
    else if (zoneOut)
        report.set_reason("the availability zone is out of service");
    else if (report.draining())
        report.set_reason("draining");
}

schema::FlowList AgentReport::flows(const schema::FlowQuery& query) const
{
    schema::FlowList list;
    const int limit = query.limit() ? static_cast<int>(query.limit()) : defaultFlowLimit;
    std::uint64_t total = 0;
    runOnLoop([&] {
        m_options.flows.forEach([&](const auto& key, const auto& entry) {
            if (!matches(query, key))
                return;
            ++total;
            if (list.flows_size() < limit)
                fillRecord(*list.add_flows(), key, entry);
        });
    });
    list.set_total(total);
    return list;
}

bool AgentReport::matches(const schema::FlowQuery& query, const fleet::FlowKey& key) const
{
    if (!query.service().empty() && query.service() != m_options.service)
        return false;
    if (!query.server().empty() && query.server() != m_options.server)
        return false;
    return query.caller().empty() || query.caller() == formatAddress(key.caller.address) || query.caller() == clementinesill::format(key.caller);
}

void AgentReport::fillRecord(schema::FlowRecord& record, const fleet::FlowKey& key, const FlowEntry& entry) const
{
    record.set_caller(clementinesill::format(key.caller));
    record.set_address(clementinesill::format(key.service));
    record.set_protocol(key.protocol == fleet::TransportProtocol::Tcp ? "tcp" : "udp");
    record.set_service(m_options.service);
    record.set_server(m_options.server);
    record.set_server_id(m_options.identity.serverId);
    record.set_incarnation(m_options.identity.incarnation);
    record.set_state(stateName(entry.state));
    record.set_reason("held");
    record.set_version(m_options.tables.table()->version());
    record.set_idle_ms(milliseconds(m_options.clock.now() - entry.lastActivity));
}

schema::DecisionList AgentReport::explain(const schema::ExplainQuery& query) const
{
    return m_options.trace.find(query.subject());
}

} // namespace clementinesill::agent
