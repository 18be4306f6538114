#include "dataplane/internal/workercounters.h"

#include <string>

namespace clementinesill::dataplane {

namespace {

// One metric for each value of the enumeration, labelled with its name.
template <typename Value, typename Counts>
void bind(Counts& counts, MetricsRegistry& metrics, const char* metric, const char* label)
{
    for (std::size_t index = 0; index < counts.size(); ++index)
        counts[index].shared = &metrics.counter(metric, { { label, std::string(name(static_cast<Value>(index))) } });
}

} // namespace

WorkerCounters::WorkerCounters(MetricsRegistry& metrics)
{
    bind<ForwardReason>(m_forwarded, metrics, "balancer_packets_total", "reason");
    bind<PacketError>(m_malformed, metrics, "balancer_malformed_total", "error");
    bind<SendError>(m_unsent, metrics, "balancer_send_errors_total", "error");
    m_learned.shared = &metrics.counter("balancer_holders_learned_total");
    m_oversize.shared = &metrics.counter("balancer_oversize_packets_total");
}

void WorkerCounters::count(const SendErrorCounts& errors)
{
    for (std::size_t index = 0; index < errors.size(); ++index)
        m_unsent[index].pending += errors[index];
}

void WorkerCounters::publish()
{
    for (auto& count : m_forwarded)
        count.publish();
    for (auto& count : m_malformed)
        count.publish();
    for (auto& count : m_unsent)
        count.publish();
    m_learned.publish();
    m_oversize.publish();
}

void WorkerCounters::Count::publish()
{
    if (!pending)
        return;
    shared->fetch_add(pending, std::memory_order_relaxed);
    pending = 0;
}

} // namespace clementinesill::dataplane
