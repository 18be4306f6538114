#pragma once

namespace clementinesill {
class IClock;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::fleet {
class ITableSource;
}

namespace clementinesill::passthrough {

// Exports what a balancer or agent holds of the fleet: versions, and the age of the controllers' last word on them. The
// references must outlive the registry.
void exportTable(MetricsRegistry& metrics, const fleet::ITableSource& tables, const IClock& clock);

} // namespace clementinesill::passthrough
