#pragma once

#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"

#include <map>
#include <string>

namespace clementinesill {
class Histogram;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::passthrough {

// A histogram of durations for each route, labelled with the name that the route had when it was first used, or with its
// address if it has left the table.
class RouteHistograms {
public:
    // The registry must outlive the object.
    RouteHistograms(MetricsRegistry& metrics, std::string name);

    void record(const Endpoint& route, Duration duration, const fleet::FleetTable& table);

private:
    MetricsRegistry& m_metrics;
    std::string m_name;
    std::map<Endpoint, Histogram*> m_histograms;
};

} // namespace clementinesill::passthrough
