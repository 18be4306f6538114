#include "dataplane/balancermodule.h"

#include "dataplane/forwarderstrategy.h"
#include "dataplane/iforwarder.h"
#include "dataplane/internal/balancerworker.h"
#include "dataplane/internal/flowcache.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "foundation/systemclock.h"
#include "settings.pb.h"

#include <algorithm>
#include <thread>
#include <vector>

namespace clementinesill::dataplane {

namespace {

constexpr std::size_t defaultCacheEntries = 65536;

class BalancerModule final : public IRoleModule {
public:
    BalancerModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics)
        : m_settings(settings.balancer())
        , m_fleet(fleet)
        , m_metrics(metrics)
        , m_cache(m_settings.flow_cache_entries() ? m_settings.flow_cache_entries() : defaultCacheEntries)
        , m_forwarder(makeForwarder(m_settings.strategy(), m_cache))
    {
    }

    void start() override
    {
        const auto threads = std::max(1U, m_settings.worker_threads());
        for (unsigned index = 0; index < threads; ++index) {
            m_workers.push_back(std::make_unique<BalancerWorker>(BalancerWorkerOptions {
                .endpoint = parseEndpoint(m_settings.data_endpoint()),
                .tables = m_fleet.tables(),
                .forwarder = *m_forwarder,
                .metrics = m_metrics,
                .clock = m_clock,
            }));
        }
        for (auto& worker : m_workers)
            m_threads.emplace_back([this, &worker] { worker->run(m_stop); });
    }

    void stop() override
    {
        m_stop = true;
        for (auto& thread : m_threads)
            thread.join();
    }

private:
    const schema::BalancerSettings m_settings;
    fleet::IFleetClient& m_fleet;
    MetricsRegistry& m_metrics;
    SystemClock m_clock;
    FlowCache m_cache;
    std::unique_ptr<IForwarder> m_forwarder;
    std::atomic<bool> m_stop { false };
    std::vector<std::unique_ptr<BalancerWorker>> m_workers;
    std::vector<std::thread> m_threads;
};

} // namespace

std::unique_ptr<IRoleModule> makeBalancerModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics)
{
    return std::make_unique<BalancerModule>(settings, fleet, metrics);
}

} // namespace clementinesill::dataplane
