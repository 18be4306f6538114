#include "passthrough/internal/routehistograms.h"

#include "fleet/fleettable.h"
#include "foundation/histogram.h"
#include "foundation/metrics.h"

#include <chrono>
#include <utility>

namespace clementinesill::passthrough {

RouteHistograms::RouteHistograms(MetricsRegistry& metrics, std::string name)
    : m_metrics(metrics)
    , m_name(std::move(name))
{
}

void RouteHistograms::record(const Endpoint& route, Duration duration, const fleet::FleetTable& table)
{
    auto& histogram = m_histograms[route];
    if (!histogram) {
        const auto* entry = table.route(route);
        histogram = &m_metrics.histogram(m_name, { { "route", entry ? entry->name : format(route) } });
    }
    histogram->record(std::chrono::duration<double>(duration).count());
}

} // namespace clementinesill::passthrough
