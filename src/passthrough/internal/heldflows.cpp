#include "passthrough/heldflows.h"

#include "agent/internal/sequencewindow.h"
#include "passthrough/types/flowpacket.h"

namespace clementinesill::passthrough {

namespace {

using agent::sequenceDistance;

// Sequence numbers that a live flow's packets may be apart: what both ends may have under way, with room for what is sent
// again.
constexpr std::int32_t sequenceWindowBytes = 1 << 18;
// An opening packet may or may not take up a sequence number itself.
constexpr std::int32_t openingSequenceSlack = 2;

bool near(std::uint32_t left, std::uint32_t right)
{
    const auto between = sequenceDistance(left, right);
    return between <= sequenceWindowBytes && between >= -sequenceWindowBytes;
}

void advance(std::uint32_t& next, std::uint32_t end)
{
    if (sequenceDistance(next, end) > 0)
        next = end;
}

} // namespace

HeldFlows::HeldFlows(ServerLoad& load, const IClock& clock, const HeldFlowsOptions& options)
    : m_load(load)
    , m_clock(clock)
    , m_options(options)
{
}

const HeldFlow* HeldFlows::find(const fleet::FlowKey& key) const
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : &found->second;
}

void HeldFlows::open(const FlowPacket& packet)
{
    erase(packet.key);
    const auto now = m_clock.now();
    m_flows[packet.key] = {
        .awaitsAnswer = true,
        .callerSequence = packet.sequence,
        .callerNext = packet.sequence,
        .requestedAt = now,
        .lastPacket = now,
    };
    m_load.started();
}

bool HeldFlows::owns(const HeldFlow& flow, const FlowPacket& packet) const
{
    if (packet.rst)
        return near(packet.sequence, flow.callerNext);
    if (flow.established)
        return near(packet.sequence, flow.callerNext) && (!packet.ack || near(packet.acknowledgement, flow.serverNext));
    // A copy of the opening packet may have been answered by two servers: the flow is at the one that is acknowledged.
    if (!flow.answered || !packet.ack)
        return false;
    const auto acknowledged = sequenceDistance(flow.serverSequence, packet.acknowledgement);
    return near(packet.sequence, flow.callerSequence) && acknowledged >= 0 && acknowledged <= openingSequenceSlack + sequenceWindowBytes;
}

void HeldFlows::noteCaller(const FlowPacket& packet)
{
    const auto found = m_flows.find(packet.key);
    if (found == m_flows.end())
        return;
    auto& flow = found->second;
    const auto now = m_clock.now();
    flow.lastPacket = now;
    flow.established = flow.established || !packet.syn;
    flow.callerFinished = flow.callerFinished || packet.fin;
    flow.reset = flow.reset || packet.rst;
    const auto end = packet.sequence + packet.payloadBytes;
    if (packet.payloadBytes && !flow.awaitsAnswer && sequenceDistance(flow.callerNext, end) > 0) {
        flow.awaitsAnswer = true;
        flow.requestedAt = now;
        m_load.started();
    }
    advance(flow.callerNext, end);
    if (flow.closed() || flow.callerFinished)
        finishRequest(flow, false);
}

void HeldFlows::noteServer(const FlowPacket& packet)
{
    const auto key = packet.flowOfAnswer();
    const auto now = m_clock.now();
    auto [place, added] = m_flows.try_emplace(key);
    auto& flow = place->second;
    if (added) {
        flow.established = !packet.syn;
        flow.callerSequence = packet.acknowledgement;
        flow.callerNext = packet.acknowledgement;
        flow.serverNext = packet.sequence;
    }
    if (packet.syn && !flow.answered)
        flow.serverSequence = flow.serverNext = packet.sequence;
    flow.answered = true;
    flow.lastPacket = now;
    advance(flow.serverNext, packet.sequence + packet.payloadBytes);
    flow.serverFinished = flow.serverFinished || packet.fin;
    flow.reset = flow.reset || packet.rst;
    if (packet.payloadBytes && flow.awaitsAnswer && m_options.answered)
        m_options.answered(key, now - flow.requestedAt);
    if (packet.payloadBytes)
        finishRequest(flow, true);
    else if (flow.closed())
        finishRequest(flow, false);
}

void HeldFlows::finishRequest(HeldFlow& flow, bool answered)
{
    if (!flow.awaitsAnswer)
        return;
    flow.awaitsAnswer = false;
    if (answered)
        m_load.answered(m_clock.now() - flow.requestedAt);
    else
        m_load.abandoned();
}

void HeldFlows::erase(const fleet::FlowKey& key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    finishRequest(found->second, false);
    m_flows.erase(found);
}

void HeldFlows::clear()
{
    for (auto& [key, flow] : m_flows)
        finishRequest(flow, false);
    m_flows.clear();
}

bool HeldFlows::expired(const HeldFlow& flow, MonotonicTime now) const
{
    const auto quiet = now - flow.lastPacket;
    if (flow.closed())
        return quiet >= m_options.closedTimeout;
    return quiet >= (flow.established ? m_options.idleTimeout : m_options.openingTimeout);
}

void HeldFlows::expire()
{
    const auto now = m_clock.now();
    for (auto place = m_flows.begin(); place != m_flows.end();) {
        if (!expired(place->second, now)) {
            ++place;
            continue;
        }
        finishRequest(place->second, false);
        place = m_flows.erase(place);
    }
}

} // namespace clementinesill::passthrough
