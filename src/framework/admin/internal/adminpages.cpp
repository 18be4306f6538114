#include "admin/adminpages.h"

#include "admin.pb.h"
#include "admin/iadminsource.h"
#include "foundation/error.h"
#include "foundation/histogram.h"
#include "foundation/metrics.h"
#include "foundation/types/endpoint.h"
#include "settings.pb.h"

#include <charconv>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace clementinesill::admin {

namespace {

constexpr int okStatus = 200;
constexpr int badRequestStatus = 400;
constexpr int notFoundStatus = 404;
constexpr int unavailableStatus = 503;
constexpr std::uint32_t defaultFlowLimit = 100;
constexpr std::uint32_t maximumFlowLimit = 10'000;

AdminResponse jsonResponse(const google::protobuf::Message& message, int status = okStatus)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    AdminResponse response { .status = status };
    static_cast<void>(google::protobuf::util::MessageToJsonString(message, &response.body, options));
    return response;
}

AdminResponse errorResponse(int status, std::string_view problem, std::string_view remedy)
{
    nlohmann::ordered_json json;
    json["error"]["problem"] = problem;
    json["error"]["remedy"] = remedy;
    return { .status = status, .body = json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) };
}

std::string parameter(const QueryParameters& parameters, const std::string& name)
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? "" : found->second;
}

schema::Role configuredRole(const schema::DaemonSettings& settings)
{
    if (settings.has_balancer())
        return schema::ROLE_BALANCER;
    if (settings.has_agent())
        return schema::ROLE_AGENT;
    return settings.has_controller() ? schema::ROLE_CONTROLLER : schema::ROLE_UNSPECIFIED;
}

// Returns 0 if the text is not a number or exceeds maximumFlowLimit.
std::uint32_t parseLimit(const std::string& text)
{
    std::uint32_t limit = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), limit);
    const bool valid = status == std::errc() && end == text.data() + text.size() && limit <= maximumFlowLimit;
    return valid ? limit : 0;
}

} // namespace

struct AdminPages::Page {
    std::string_view path;
    AdminResponse (AdminPages::*render)(const QueryParameters&) const;
};

const AdminPages::Page AdminPages::pages[] = {
    { "/health", &AdminPages::health },
    { "/ready", &AdminPages::ready },
    { "/status", &AdminPages::status },
    { "/metrics", &AdminPages::metrics },
    { "/flows", &AdminPages::flows },
    { "/explain", &AdminPages::explain },
    { "/placement", &AdminPages::placement },
    { "/histograms", &AdminPages::histograms },
};

AdminPages::AdminPages(const schema::DaemonSettings& settings, const MetricsRegistry& metrics, const IClock& clock)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_startTime(clock.now())
{
}

void AdminPages::setStarted(const IAdminSource* source)
{
    m_source = source;
    m_started = true;
}

AdminResponse AdminPages::handle(const std::string& path, const QueryParameters& parameters) const
{
    for (const auto& page : pages) {
        if (page.path == path)
            return (this->*page.render)(parameters);
    }
    return errorResponse(notFoundStatus, "no such page", "use /health, /ready, /status, /metrics, /flows, /explain, /placement or /histograms");
}

schema::DaemonReport AdminPages::report() const
{
    schema::DaemonReport report;
    report.set_daemon(m_settings.name());
    report.set_role(configuredRole(m_settings));
    report.set_zone(m_settings.zone());
    report.set_uptime_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_startTime).count()));
    report.set_ready(m_started);
    report.set_reason(report.ready() ? "" : "the role is starting");
    if (const auto* source = m_source.load())
        source->report(report);
    if (m_draining) {
        report.set_draining(true);
        report.set_ready(false);
        report.set_reason("draining");
    }
    return report;
}

AdminResponse AdminPages::health(const QueryParameters&) const
{
    return { .contentType = "text/plain", .body = "ok\n" };
}

AdminResponse AdminPages::ready(const QueryParameters&) const
{
    const auto current = report();
    if (current.ready())
        return { .contentType = "text/plain", .body = "ready\n" };
    return { .status = unavailableStatus, .contentType = "text/plain", .body = current.reason() + "\n" };
}

AdminResponse AdminPages::status(const QueryParameters&) const
{
    return jsonResponse(report());
}

AdminResponse AdminPages::metrics(const QueryParameters&) const
{
    return { .contentType = "text/plain; version=0.0.4", .body = m_metrics.renderPrometheus() };
}

AdminResponse AdminPages::flows(const QueryParameters& parameters) const
{
    schema::FlowQuery query;
    query.set_caller(parameter(parameters, "caller"));
    query.set_service(parameter(parameters, "service"));
    query.set_server(parameter(parameters, "server"));
    query.set_limit(parameters.contains("limit") ? parseLimit(parameter(parameters, "limit")) : defaultFlowLimit);
    if (!query.limit())
        return errorResponse(badRequestStatus, "limit is out of range", "use a number from 1 to " + std::to_string(maximumFlowLimit));
    const auto* source = m_source.load();
    auto list = source ? source->flows(query) : schema::FlowList();
    for (auto& flow : *list.mutable_flows())
        flow.set_daemon(m_settings.name());
    return jsonResponse(list);
}

AdminResponse AdminPages::explain(const QueryParameters& parameters) const
{
    schema::ExplainQuery query;
    query.set_subject(parameter(parameters, "subject"));
    if (query.subject().empty())
        return errorResponse(badRequestStatus, "no subject is given", "add ?subject=ADDRESS:PORT or the id of a request");
    const auto* source = m_source.load();
    auto list = source ? source->explain(query) : schema::DecisionList();
    for (auto& decision : *list.mutable_decisions())
        decision.set_daemon(m_settings.name());
    return jsonResponse(list);
}

AdminResponse AdminPages::placement(const QueryParameters& parameters) const
{
    schema::PlacementQuery query;
    query.set_address(parameter(parameters, "address"));
    try {
        parseEndpoint(query.address());
    } catch (const Error& error) {
        return errorResponse(badRequestStatus, error.problem(), "add ?address=ADDRESS:PORT of a route");
    }
    schema::PlacementList list;
    if (const auto* source = m_source.load())
        source->explainPlacement(query, list);
    for (auto& record : *list.mutable_records()) {
        record.set_daemon(m_settings.name());
        record.set_daemon_zone(m_settings.zone());
    }
    return jsonResponse(list);
}

AdminResponse AdminPages::histograms(const QueryParameters&) const
{
    schema::HistogramList list;
    m_metrics.forEachHistogram([&list](const std::string& name, const Labels& labels, const Histogram& histogram) {
        auto& series = *list.add_series();
        series.set_name(name);
        series.mutable_labels()->insert(labels.begin(), labels.end());
        series.set_count(histogram.count());
        series.set_sum(histogram.sum());
        for (const auto& bucket : histogram.buckets()) {
            if (!bucket.count)
                continue;
            auto& sent = *series.add_buckets();
            sent.set_upper(bucket.upper);
            sent.set_count(bucket.count);
        }
    });
    return jsonResponse(list);
}

} // namespace clementinesill::admin
