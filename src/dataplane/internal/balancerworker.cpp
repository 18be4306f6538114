#include "dataplane/internal/balancerworker.h"

#include "dataplane/genevecodec.h"
#include "dataplane/iforwarder.h"
#include "dataplane/internal/packetbatch.h"
#include "dataplane/packetparser.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "net/udpsocket.h"

#include <unistd.h>

namespace clementinesill::dataplane {

namespace {

// How long a worker sleeps at most before it looks whether it should stop.
constexpr std::chrono::milliseconds receiveTimeout { 50 };

} // namespace

BalancerWorker::BalancerWorker(const BalancerWorkerOptions& options)
    : m_options(options)
    , m_socket(net::openUdpSocket({ .endpoint = options.endpoint, .reusePort = true, .receiveTimeout = receiveTimeout }))
    , m_batch(std::make_unique<PacketBatch>())
    , m_learned(options.metrics.counter("balancer_holders_learned_total"))
{
    for (std::size_t index = 0; index < m_forwarded.size(); ++index)
        m_forwarded[index] = &options.metrics.counter("balancer_packets_total", { { "reason", std::string(name(static_cast<ForwardReason>(index))) } });
    for (std::size_t index = 0; index < m_malformed.size(); ++index)
        m_malformed[index] = &options.metrics.counter("balancer_malformed_total", { { "error", std::string(name(static_cast<PacketError>(index))) } });
}

BalancerWorker::~BalancerWorker()
{
    close(m_socket);
}

void BalancerWorker::run(const std::atomic<bool>& stop)
{
    while (!stop.load(std::memory_order_relaxed)) {
        const auto count = m_batch->receive(m_socket);
        if (!count)
            continue;
        const auto table = m_options.tables.table();
        for (std::size_t index = 0; index < count; ++index)
            handle(index, *table);
        m_batch->flush(m_socket);
    }
}

void BalancerWorker::handle(std::size_t index, const fleet::FleetTable& table)
{
    GeneveMessage message;
    const auto error = decodeGeneve(m_batch->datagram(index), message);
    if (error != PacketError::None) {
        count(error);
        return;
    }
    if (!message.control) {
        forward(index, message, table);
        return;
    }
    if (!message.holder)
        return;
    m_options.forwarder.learn(*message.holder, table);
    m_learned.fetch_add(1, std::memory_order_relaxed);
}

void BalancerWorker::forward(std::size_t index, const GeneveMessage& message, const fleet::FleetTable& table)
{
    PacketView packet;
    const auto error = parsePacket(message.payload, packet);
    if (error != PacketError::None) {
        count(error);
        return;
    }
    auto decision = m_options.forwarder.forward(packet, table);
    count(decision.reason);
    if (decision.dropped)
        return;
    decision.route.balancer = m_options.endpoint;
    decision.route.ingress = m_batch->source(index);
    GeneveMessage outer;
    outer.serviceId = decision.route.serviceId;
    outer.route = decision.route;
    const auto headerBytes = encodeGeneveHeader(outer, m_batch->headerSpace(index));
    m_batch->queue(index, headerBytes, packet.bytes, decision.agent);
}

void BalancerWorker::count(ForwardReason reason)
{
    m_forwarded[static_cast<std::size_t>(reason)]->fetch_add(1, std::memory_order_relaxed);
}

void BalancerWorker::count(PacketError error)
{
    m_malformed[static_cast<std::size_t>(error)]->fetch_add(1, std::memory_order_relaxed);
}

} // namespace clementinesill::dataplane
