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

// Maximum time that a worker waits for packets before it checks the stop flag.
constexpr std::chrono::milliseconds receiveTimeout { 50 };

// Outer IPv4 and UDP headers.
constexpr std::size_t outerHeaderBytes = 28;

} // namespace

BalancerWorker::BalancerWorker(const BalancerWorkerOptions& options)
    : m_options(options)
    , m_socket(net::openUdpSocket({ .endpoint = options.endpoint, .reusePort = true, .receiveTimeout = receiveTimeout }))
    , m_batch(std::make_unique<PacketBatch>())
    , m_counters(options.metrics)
{
}

BalancerWorker::~BalancerWorker()
{
    close(m_socket);
}

void BalancerWorker::run(const std::atomic<bool>& stop)
{
    while (!stop.load(std::memory_order_relaxed))
        processBatch();
    drain();
}

void BalancerWorker::drain()
{
    const auto deadline = m_options.clock.now() + m_options.drainTimeout;
    unsigned idleReads = 0;
    while (idleReads < m_options.drainIdleReads && m_options.clock.now() < deadline)
        idleReads = processBatch() ? 0 : idleReads + 1;
}

std::size_t BalancerWorker::processBatch()
{
    const auto count = m_batch->receive(m_socket);
    if (!count)
        return 0;
    // The table is read once per batch; a newer table takes effect with the next batch.
    const auto table = m_options.tables.table();
    for (std::size_t index = 0; index < count; ++index)
        processDatagram(index, *table);
    m_counters.count(m_batch->flush(m_socket));
    m_counters.publish();
    return count;
}

void BalancerWorker::processDatagram(std::size_t index, const fleet::FleetTable& table)
{
    if (m_batch->isTruncated(index)) {
        m_counters.count(PacketError::Truncated);
        return;
    }
    GeneveMessage message;
    const auto error = decodeGeneve(m_batch->datagram(index), message);
    if (error != PacketError::None) {
        m_counters.count(error);
        return;
    }
    if (!message.control) {
        forwardPacket(index, message, table);
        return;
    }
    if (!message.holder)
        return;
    m_options.forwarder.learn(*message.holder, table);
    m_counters.countLearnedHolder();
}

void BalancerWorker::forwardPacket(std::size_t index, const GeneveMessage& message, const fleet::FleetTable& table)
{
    PacketView packet;
    const auto error = parsePacket(message.payload, packet);
    if (error != PacketError::None) {
        m_counters.count(error);
        return;
    }
    auto decision = m_options.forwarder.decide(packet, table);
    m_counters.count(decision.reason);
    if (decision.dropped)
        return;
    decision.route.balancer = m_options.endpoint;
    decision.route.ingress = m_batch->source(index);
    GeneveMessage outerMessage;
    outerMessage.serviceId = decision.route.serviceId;
    outerMessage.route = decision.route;
    const auto headerBytes = encodeGeneveHeader(outerMessage, m_batch->headerBuffer(index));
    if (outerHeaderBytes + headerBytes + packet.bytes.size() > m_options.pathMtuBytes)
        m_counters.countOversizePacket();
    m_batch->queue(index, headerBytes, packet.bytes, decision.agent);
}

} // namespace clementinesill::dataplane
