#pragma once

#include "admin/types/adminresponse.h"
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

// Decoded query parameters by name.
using QueryParameters = std::map<std::string, std::string>;

// Renders the pages of the admin endpoint, independently of the HTTP server: /health, /ready, /status, /metrics, /flows,
// /explain, /placement and /histograms. Thread-safe.
class AdminPages {
public:
    AdminPages(const schema::DaemonSettings& settings, const MetricsRegistry& metrics, const IClock& clock);

    // Marks the role as started; until then the daemon is not ready. The source supplies the state of the role; it may be
    // null and must outlive the pages.
    void setStarted(const IAdminSource* source);

    // Marks the daemon as draining and not ready, so that it receives no new work.
    void setDraining() { m_draining = true; }

    // Returns the response to a GET request. Status 404 for an unknown path, 400 for an invalid parameter, 503 for /ready
    // while the daemon is not ready.
    AdminResponse handle(const std::string& path, const QueryParameters& parameters) const;

private:
    AdminResponse health(const QueryParameters& parameters) const;
    AdminResponse ready(const QueryParameters& parameters) const;
    AdminResponse status(const QueryParameters& parameters) const;
    AdminResponse metrics(const QueryParameters& parameters) const;
    AdminResponse flows(const QueryParameters& parameters) const;
    AdminResponse explain(const QueryParameters& parameters) const;
    AdminResponse placement(const QueryParameters& parameters) const;
    AdminResponse histograms(const QueryParameters& parameters) const;
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
