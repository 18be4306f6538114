#pragma once

#include "admin/types/adminreply.h"
#include "foundation/iclock.h"

#include <atomic>
#include <map>
#include <string>

namespace clementinesill {
class MetricsRegistry;
namespace schema {
class DaemonReport;
class DaemonSettings;
} // namespace schema
} // namespace clementinesill

namespace clementinesill::admin {

class IAdminSource;

// Parameters of a query, decoded.
using QueryParameters = std::map<std::string, std::string>;

// The pages of the admin endpoint, apart from the transport: /health, /ready, /status, /metrics, /flows, /explain and
// /histograms. Thread-safe.
class AdminPages {
public:
    AdminPages(const schema::DaemonSettings& settings, const MetricsRegistry& metrics, const IClock& clock);

    // Tells that the role has started; before, the daemon is not ready. The source tells what the role knows, outlives the
    // pages, and may be null.
    void setStarted(const IAdminSource* source);

    // From now on the daemon is not ready, so that nobody sends it new work.
    void setDraining() { m_draining = true; }

    // 404 for an unknown path, 400 for a wrong parameter, 503 for /ready while not ready.
    AdminReply reply(const std::string& path, const QueryParameters& parameters) const;

private:
    AdminReply health(const QueryParameters& parameters) const;
    AdminReply ready(const QueryParameters& parameters) const;
    AdminReply status(const QueryParameters& parameters) const;
    AdminReply metrics(const QueryParameters& parameters) const;
    AdminReply flows(const QueryParameters& parameters) const;
    AdminReply explain(const QueryParameters& parameters) const;
    AdminReply histograms(const QueryParameters& parameters) const;
    schema::DaemonReport report() const;

    struct Page;
    static const Page pages[];

    const schema::DaemonSettings& m_settings;
    const MetricsRegistry& m_metrics;
    const IClock& m_clock;
    const MonotonicTime m_startTime;
    std::atomic<bool> m_started { false };
    std::atomic<const IAdminSource*> m_source { nullptr };
    std::atomic<bool> m_draining { false };
};

} // namespace clementinesill::admin
