#include "dataplane/internal/workercounters.h"

#include <string>

namespace clementinesill::dataplane {

namespace {

// Registers one time series for each value of the enumeration, labelled with the name of the value.
template <typename Value, typename Counts>
void bindCounters(Counts& counts, MetricsRegistry& metrics, const char* metric, const char* label)
{
    for (std::size_t index = 0; index < counts.size(); ++index)
        counts[index].shared = &metrics.counter(metric, { { label, std::string(name(static_cast<Value>(index))) } });
}

} // namespace

WorkerCounters::WorkerCounters(MetricsRegistry& metrics)
{
    bindCounters<ForwardReason>(m_decisions, metrics, "balancer_packets_total", "reason");
    bindCounters<PacketError>(m_packetErrors, metrics, "balancer_malformed_total", "error");
    bindCounters<SendError>(m_sendErrors, metrics, "balancer_send_errors_total", "error");
    m_learnedHolders.shared = &metrics.counter("balancer_holders_learned_total");
    m_oversizePackets.shared = &metrics.counter("balancer_oversize_packets_total");
}

void WorkerCounters::count(const SendErrorCounts& errors)
{
    for (std::size_t index = 0; index < errors.size(); ++index)
        m_sendErrors[index].pending += errors[index];
}

void WorkerCounters::publish()
{
    for (auto& count : m_decisions)
        count.publish();
    for (auto& count : m_packetErrors)
        count.publish();
    for (auto& count : m_sendErrors)
        count.publish();
    m_learnedHolders.publish();
    m_oversizePackets.publish();
}

void WorkerCounters::BufferedCounter::publish()
{
    if (!pending)
        return;
    shared->fetch_add(pending, std::memory_order_relaxed);
    pending = 0;
}

} // namespace clementinesill::dataplane
