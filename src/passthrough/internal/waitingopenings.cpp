#include "passthrough/waitingopenings.h"

#include <utility>

namespace clementinesill::passthrough {

WaitingOpenings::WaitingOpenings(const admission::AdmissionQueueOptions& options, const IClock& clock)
    : m_clock(clock)
    , m_queue(options, clock)
{
}

bool WaitingOpenings::add(const FlowPacket& packet, const Search& search, const admission::QueueTraits& traits, Duration readyIn, Duration timePerStart)
{
    const auto result = m_queue.push(traits, readyIn, timePerStart);
    for (const auto id : result.displaced)
        m_displaced.push_back(take(id));
    if (!result.id)
        return false;
    m_openings[*result.id] = { .packet = packet, .search = search, .bytes = {}, .arrivedAt = m_clock.now() };
    m_ids[packet.key] = *result.id;
    return true;
}

void WaitingOpenings::setBytes(const fleet::FlowKey& flow, std::span<const std::byte> bytes)
{
    if (const auto found = m_ids.find(flow); found != m_ids.end())
        m_openings.at(found->second).bytes.assign(bytes.begin(), bytes.end());
}

bool WaitingOpenings::holds(const FlowPacket& packet) const
{
    const auto found = m_ids.find(packet.key);
    return found != m_ids.end() && m_openings.at(found->second).packet.sequence == packet.sequence;
}

void WaitingOpenings::erase(const fleet::FlowKey& flow)
{
    const auto found = m_ids.find(flow);
    if (found == m_ids.end())
        return;
    m_queue.remove(found->second);
    m_openings.erase(found->second);
    m_ids.erase(found);
}

std::optional<WaitingOpening> WaitingOpenings::takeNext()
{
    const auto id = m_queue.pop();
    return id ? std::optional(take(*id)) : std::nullopt;
}

std::vector<WaitingOpening> WaitingOpenings::takeDisplaced()
{
    return std::exchange(m_displaced, {});
}

std::vector<WaitingOpening> WaitingOpenings::takeExpired()
{
    std::vector<WaitingOpening> expired;
    for (const auto id : m_queue.takeExpired())
        expired.push_back(take(id));
    return expired;
}

WaitingOpening WaitingOpenings::take(std::uint64_t id)
{
    auto node = m_openings.extract(id);
    m_ids.erase(node.mapped().packet.key);
    return std::move(node.mapped());
}

} // namespace clementinesill::passthrough
