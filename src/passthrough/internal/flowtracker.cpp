#include "passthrough/flowtracker.h"

#include "agent/internal/sequencewindow.h"
#include "passthrough/serverfailures.h"
#include "passthrough/types/flowpacket.h"

#include <utility>

namespace clementinesill::passthrough {

namespace {

using agent::sequenceDistance;

// Maximum distance between the sequence numbers of two packets of one flow in one direction: the data that an end may have
// in flight, with room for retransmissions.
constexpr std::int32_t sequenceWindowBytes = 1 << 18;
// A SYN may or may not consume a sequence number.
constexpr std::int32_t synSequenceSlack = 2;

bool withinWindow(std::uint32_t left, std::uint32_t right)
{
    const auto distance = sequenceDistance(left, right);
    return distance <= sequenceWindowBytes && distance >= -sequenceWindowBytes;
}

void advance(std::uint32_t& next, std::uint32_t end)
{
    if (sequenceDistance(next, end) > 0)
        next = end;
}

} // namespace

FlowTracker::FlowTracker(ServerLoad& load, const IClock& clock, const FlowTrackerOptions& options)
    : m_load(load)
    , m_clock(clock)
    , m_options(options)
{
}

const TrackedFlow* FlowTracker::find(const fleet::FlowKey& key) const
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : &found->second;
}

void FlowTracker::open(const FlowPacket& packet)
{
    erase(packet.key);
    const auto now = m_clock.now();
    m_flows[packet.key] = {
        .awaitsResponse = true,
        .initialCallerSequence = packet.sequence,
        .nextCallerSequence = packet.sequence,
        .requestTime = now,
        .lastPacketTime = now,
    };
    m_load.requestStarted();
    if (m_options.requestTimeout.count())
        m_handshakes.emplace_back(now, packet.key);
}

bool FlowTracker::matches(const TrackedFlow& flow, const FlowPacket& packet) const
{
    if (packet.rst)
        return withinWindow(packet.sequence, flow.nextCallerSequence);
    if (flow.established)
        return withinWindow(packet.sequence, flow.nextCallerSequence) && (!packet.ack || withinWindow(packet.acknowledgement, flow.nextServerSequence));
    // Two servers may have accepted copies of the same SYN. The flow belongs to the one whose SYN-ACK the caller acknowledges.
    if (!flow.synAckSeen || !packet.ack)
        return false;
    const auto acknowledged = sequenceDistance(flow.initialServerSequence, packet.acknowledgement);
    return withinWindow(packet.sequence, flow.initialCallerSequence) && acknowledged >= 0 && acknowledged <= synSequenceSlack + sequenceWindowBytes;
}

void FlowTracker::recordCallerPacket(const FlowPacket& packet)
{
    const auto found = m_flows.find(packet.key);
    if (found == m_flows.end())
        return;
    auto& flow = found->second;
    const auto now = m_clock.now();
    flow.lastPacketTime = now;
    flow.established = flow.established || !packet.syn;
    flow.callerFinSeen = flow.callerFinSeen || packet.fin;
    flow.reset = flow.reset || packet.rst;
    const auto end = packet.sequence + packet.payloadBytes;
    const bool newData = packet.payloadBytes && sequenceDistance(flow.nextCallerSequence, end) > 0;
    if (newData && flow.awaitsResponse && !flow.requestSeen) {
        m_load.workEstimate().recordHandshake(now - flow.requestTime);
        beginRequest(packet.key, flow);
    } else if (newData && !flow.awaitsResponse) {
        flow.awaitsResponse = true;
        flow.requestTime = now;
        m_load.requestStarted();
        beginRequest(packet.key, flow);
    }
    advance(flow.nextCallerSequence, end);
    if (flow.closed() || flow.callerFinSeen)
        finishRequest(packet.key, flow, RequestEnd::Withdrawn);
}

void FlowTracker::recordServerPacket(const FlowPacket& packet)
{
    const auto key = packet.flowOfServerPacket();
    const auto now = m_clock.now();
    auto [entry, added] = m_flows.try_emplace(key);
    auto& flow = entry->second;
    if (added) {
        flow.established = !packet.syn;
        flow.requestSeen = true;
        flow.initialCallerSequence = packet.acknowledgement;
        flow.nextCallerSequence = packet.acknowledgement;
        flow.nextServerSequence = packet.sequence;
        flow.responseStartSequence = packet.sequence;
    }
    // A late packet of an earlier flow with the same ports may arrive before the SYN-ACK.
    if (!flow.synAckSeen || (packet.syn && !flow.established))
        flow.initialServerSequence = flow.nextServerSequence = flow.responseStartSequence = packet.sequence;
    flow.synAckSeen = true;
    flow.lastPacketTime = now;
    const auto end = packet.sequence + packet.payloadBytes;
    // A retransmitted packet of an earlier response is no response to the current request. The packets of a response may arrive
    // in any order, so they are compared with its start and not with the highest sequence number seen.
    const bool answersRequest = packet.payloadBytes && sequenceDistance(flow.responseStartSequence, end) > 0;
    advance(flow.nextServerSequence, end);
    flow.serverFinSeen = flow.serverFinSeen || packet.fin;
    flow.reset = flow.reset || packet.rst;
    if (answersRequest && flow.awaitsResponse && m_options.responseStarted)
        m_options.responseStarted(key, now - flow.requestTime);
    if (answersRequest)
        finishRequest(key, flow, RequestEnd::Responded);
    else if (flow.closed())
        finishRequest(key, flow, RequestEnd::NotResponded);
}

void FlowTracker::beginRequest(const fleet::FlowKey& key, TrackedFlow& flow)
{
    flow.requestSeen = true;
    flow.responseStartSequence = flow.nextServerSequence;
    if (m_occupiedSlots < m_load.slots())
        occupySlot(flow);
    else
        m_queuedRequests.push_back(key);
}

void FlowTracker::occupySlot(TrackedFlow& flow)
{
    flow.occupiesSlot = true;
    flow.workStart = m_clock.now();
    ++m_occupiedSlots;
}

void FlowTracker::releaseSlot(TrackedFlow& flow)
{
    if (!std::exchange(flow.occupiesSlot, false))
        return;
    --m_occupiedSlots;
    while (!m_queuedRequests.empty() && m_occupiedSlots < m_load.slots()) {
        const auto next = m_flows.find(m_queuedRequests.front());
        m_queuedRequests.pop_front();
        if (next != m_flows.end() && next->second.awaitsResponse && next->second.requestSeen && !next->second.occupiesSlot)
            occupySlot(next->second);
    }
}

void FlowTracker::finishRequest(const fleet::FlowKey& key, TrackedFlow& flow, RequestEnd end)
{
    if (!flow.awaitsResponse)
        return;
    flow.awaitsResponse = false;
    const bool responded = end == RequestEnd::Responded;
    if (m_options.failures && end != RequestEnd::Withdrawn)
        m_options.failures->record(responded);
    if (responded && flow.occupiesSlot)
        m_load.workEstimate().recordWork(key.service, m_clock.now() - flow.workStart);
    releaseSlot(flow);
    if (responded)
        m_load.responseStarted(m_clock.now() - flow.requestTime);
    else
        m_load.requestAbandoned();
}

void FlowTracker::erase(const fleet::FlowKey& key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    finishRequest(key, found->second, RequestEnd::Withdrawn);
    m_flows.erase(found);
}

void FlowTracker::clear()
{
    for (auto& [key, flow] : m_flows)
        finishRequest(key, flow, RequestEnd::Withdrawn);
    m_flows.clear();
    m_queuedRequests.clear();
    m_handshakes.clear();
}

bool FlowTracker::expired(const TrackedFlow& flow, MonotonicTime now) const
{
    const auto idle = now - flow.lastPacketTime;
    if (flow.closed())
        return idle >= m_options.closedTimeout;
    return idle >= (flow.established ? m_options.idleTimeout : m_options.handshakeTimeout);
}

void FlowTracker::abandonStalledHandshakes()
{
    const auto oldest = m_clock.now() - m_options.requestTimeout;
    while (!m_handshakes.empty() && m_handshakes.front().first <= oldest) {
        const auto [openedAt, key] = m_handshakes.front();
        m_handshakes.pop_front();
        const auto found = m_flows.find(key);
        if (found != m_flows.end() && !found->second.requestSeen && found->second.requestTime == openedAt)
            finishRequest(key, found->second, RequestEnd::Withdrawn);
    }
}

void FlowTracker::expire()
{
    const auto now = m_clock.now();
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        if (!expired(entry->second, now)) {
            ++entry;
            continue;
        }
        finishRequest(entry->first, entry->second, entry->second.requestSeen ? RequestEnd::NotResponded : RequestEnd::Withdrawn);
        entry = m_flows.erase(entry);
    }
}

} // namespace clementinesill::passthrough
