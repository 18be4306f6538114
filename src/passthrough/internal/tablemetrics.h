#pragma once

namespace clementinesill {
class IClock;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::fleet {
class ITableSource;
}

namespace clementinesill::passthrough {

// Registers gauges for the versions of the table and configuration, and for the time since the controllers last confirmed the
// table. The references must outlive the registry.
void addTableMetrics(MetricsRegistry& metrics, const fleet::ITableSource& tables, const IClock& clock);

} // namespace clementinesill::passthrough
