#include "passthrough/internal/tablemetrics.h"

#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "foundation/iclock.h"
#include "foundation/metrics.h"

namespace clementinesill::passthrough {

void addTableMetrics(MetricsRegistry& metrics, const fleet::ITableSource& tables, const IClock& clock)
{
    metrics.addGauge("table_version", {}, [&tables] { return static_cast<double>(tables.table()->version()); });
    metrics.describe("newest_version_seen", "highest table version that controllers or peers have reported");
    metrics.addGauge("newest_version_seen", {}, [&tables] { return static_cast<double>(tables.highestVersionSeen()); });
    metrics.addGauge("configuration_version", {}, [&tables] { return static_cast<double>(tables.table()->documentVersion().value_or(0)); });
    metrics.addGauge("table_age_seconds", {}, [&tables, &clock] { return std::chrono::duration<double>(clock.now() - tables.confirmedAt()).count(); });
}

} // namespace clementinesill::passthrough
