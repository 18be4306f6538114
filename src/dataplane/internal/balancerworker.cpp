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

// IPv4 and UDP headers in front of what is sent.
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
        serveBatch();
    drain();
}

void BalancerWorker::drain()
{
    const auto end = m_options.clock.now() + m_options.drainLimit;
    unsigned quiet = 0;
    while (quiet < m_options.quietReads && m_options.clock.now() < end)
        quiet = serveBatch() ? 0 : quiet + 1;
}

std::size_t BalancerWorker::serveBatch()
{
    const auto count = m_batch->receive(m_socket);
    if (!count)
        return 0;
    // Packets of one batch are decided by one table; a newer one takes effect with the next batch.
    const auto table = m_options.tables.table();
    for (std::size_t index = 0; index < count; ++index)
        handle(index, *table);
    m_counters.count(m_batch->flush(m_socket));
    m_counters.publish();
    return count;
}

void BalancerWorker::handle(std::size_t index, const fleet::FleetTable& table)
{
    if (m_batch->truncated(index)) {
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
        forward(index, message, table);
        return;
    }
    if (!message.holder)
        return;
    m_options.forwarder.learn(*message.holder, table);
    m_counters.countLearned();
}

void BalancerWorker::forward(std::size_t index, const GeneveMessage& message, const fleet::FleetTable& table)
{
    PacketView packet;
    const auto error = parsePacket(message.payload, packet);
    if (error != PacketError::None) {
        m_counters.count(error);
        return;
    }
    auto decision = m_options.forwarder.forward(packet, table);
    m_counters.count(decision.reason);
    if (decision.dropped)
        return;
    decision.route.balancer = m_options.endpoint;
    decision.route.ingress = m_batch->source(index);
    GeneveMessage outer;
    outer.serviceId = decision.route.serviceId;
    outer.route = decision.route;
    const auto headerBytes = encodeGeneveHeader(outer, m_batch->headerSpace(index));
    if (outerHeaderBytes + headerBytes + packet.bytes.size() > m_options.pathBytes)
        m_counters.countOversize();
    m_batch->queue(index, headerBytes, packet.bytes, decision.agent);
}

} // namespace clementinesill::dataplane
