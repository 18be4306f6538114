#include "passthrough/linkbudget.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace clementinesill::passthrough {

namespace {

// Time that the link needs to send a full bucket, and thus the longest wait of a packet at the link.
constexpr std::chrono::duration<double> bucketTime { 0.05 };

// Shares of the bucket that a class leaves for those before it. Half of it is for packets of open flows, which come in bursts
// (ACKs of a download, requests after their handshakes): with a fifth, they waited 64 ms in a replayed burst of 6 times.
constexpr double resetReserve = 0.5;
constexpr double retransmittedOpeningReserve = 0.85;
// By priority of the route; the last one also applies to all lower priorities.
constexpr std::array openingReserves { 0.6, 0.65, 0.7, 0.75 };

} // namespace

std::string_view name(EntryClass entryClass)
{
    static constexpr std::array<std::string_view, entryClassCount> names { "open_flow", "reset", "opening", "opening_retransmission" };
    return names.at(static_cast<std::size_t>(entryClass));
}

LinkBudget::LinkBudget(double bytesPerSecond, const IClock& clock)
    : m_bytesPerSecond(bytesPerSecond)
    , m_capacity(bytesPerSecond * bucketTime.count())
    , m_clock(clock)
    , m_tokens(m_capacity)
    , m_updated(clock.now())
{
}

bool LinkBudget::take(EntryClass entryClass, std::uint32_t priority, std::size_t datagramBytes)
{
    if (m_bytesPerSecond <= 0)
        return true;
    refill();
    const auto remaining = m_tokens - static_cast<double>(datagramBytes + ipAndUdpHeaderBytes);
    if (entryClass != EntryClass::OpenFlow && remaining < reserve(entryClass, priority))
        return false;
    // A debt of more than one bucket would delay the recovery after a burst, while callers have already retransmitted.
    m_tokens = std::max(remaining, -m_capacity);
    return true;
}

void LinkBudget::refill()
{
    const auto now = m_clock.now();
    m_tokens = std::min(m_capacity, m_tokens + m_bytesPerSecond * std::chrono::duration<double>(now - m_updated).count());
    m_updated = now;
}

double LinkBudget::reserve(EntryClass entryClass, std::uint32_t priority) const
{
    switch (entryClass) {
    case EntryClass::OpenFlow:
        return 0;
    case EntryClass::Reset:
        return resetReserve * m_capacity;
    case EntryClass::Opening:
        return openingReserves[std::min<std::size_t>(priority, openingReserves.size() - 1)] * m_capacity;
    case EntryClass::RetransmittedOpening:
        return retransmittedOpeningReserve * m_capacity;
    }
    return 0;
}

} // namespace clementinesill::passthrough
