#include "passthrough/linkbudget.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <numeric>

namespace clementinesill::passthrough {

namespace {

// Share of the link's rate that is planned for; the rest absorbs what arrives beyond the estimates.
constexpr double plannedShare = 0.95;
// Time that the link needs to send a full bucket: room for the random bursts of a load that the link can carry, and well below
// the 200 ms after which ends retransmit.
constexpr std::chrono::duration<double> bucketTime { 0.15 };

// Shares of the bucket that a class leaves for those before it.
constexpr double retransmittedOpeningReserve = 0.85;
// By priority of the route; the last one also applies to all lower priorities.
constexpr std::array openingReserves { 0.1, 0.25, 0.5, 0.6 };
// For a service with less than an equal share of the openings.
constexpr double smallServiceReserve = 0.05;

// Bounds of the expected bytes of a flow. Long flows carry many requests, whose packets do not depend on new openings.
constexpr double minimumFlowBytes = 600;
constexpr double maximumFlowBytes = 2500;
// Expected until flows have been observed: handshake, request, response ACKs and FIN, received and forwarded.
constexpr double initialFlowBytes = 1500;
// Number of observed openings at which the observed and the initial estimate have equal weight.
constexpr double initialEstimateWeight = 20;

// Recent openings below which a service counts as inactive.
constexpr double inactiveOpenings = 0.01;

// Time constants of the decay of the estimates, and of charges whose packets do not follow because an agent rejected the SYN.
constexpr double estimateSeconds = 1;
constexpr double prepaidSeconds = 0.3;
// Time constant after which a flow has brought its packets. Without it, the estimate would fall at the start of a burst, when
// many flows have been opened and have sent nothing yet.
constexpr double observationSeconds = 0.1;

} // namespace

std::string_view name(EntryClass entryClass)
{
    static constexpr std::array<std::string_view, entryClassCount> names { "open_flow", "reset", "opening", "opening_retransmission" };
    return names.at(static_cast<std::size_t>(entryClass));
}

LinkBudget::LinkBudget(const LinkBudgetOptions& options, const IClock& clock)
    : m_options(options)
    , m_capacity(plannedShare * options.bytesPerSecond * bucketTime.count())
    , m_clock(clock)
    , m_tokens(m_capacity)
    , m_updated(clock.now())
{
}

bool LinkBudget::take(EntryClass entryClass, std::size_t datagramBytes)
{
    if (m_options.bytesPerSecond <= 0)
        return true;
    // A reset is never refused, since each one saves the caller's two retransmissions.
    if (entryClass == EntryClass::OpenFlow || entryClass == EntryClass::Reset) {
        recordPassed(entryClass == EntryClass::OpenFlow, datagramBytes);
        return true;
    }
    refill();
    const auto cost = datagramCost(datagramBytes);
    if (m_tokens - cost < retransmittedOpeningReserve * m_capacity)
        return false;
    spend(cost);
    return true;
}

bool LinkBudget::takeOpening(std::uint32_t serviceId, std::uint32_t priority, std::size_t datagramBytes)
{
    if (m_options.bytesPerSecond <= 0)
        return true;
    refill();
    const auto flowBytes = expectedFlowBytes();
    const auto cost = datagramCost(datagramBytes) + flowBytes;
    const auto reserve = usesLessThanEqualShare(serviceId) ? smallServiceReserve : openingReserves[std::min<std::size_t>(priority, openingReserves.size() - 1)];
    if (m_tokens - cost < reserve * m_capacity)
        return false;
    spend(cost);
    m_prepaid += flowBytes;
    m_newOpenings += 1;
    m_serviceOpenings[serviceId] += 1;
    return true;
}

void LinkBudget::recordReceived(bool ofOpenFlow, std::size_t datagramBytes)
{
    if (m_options.bytesPerSecond > 0)
        recordPassed(ofOpenFlow, datagramBytes);
}

void LinkBudget::recordPassed(bool ofOpenFlow, std::size_t datagramBytes)
{
    refill();
    const auto cost = datagramCost(datagramBytes);
    if (ofOpenFlow)
        recordOpenFlowBytes(cost);
    else
        spend(cost);
}

double LinkBudget::expectedFlowBytes() const
{
    const auto estimate = (m_openFlowBytes + initialEstimateWeight * initialFlowBytes) / (m_observedOpenings + initialEstimateWeight);
    return std::clamp(estimate, minimumFlowBytes, maximumFlowBytes);
}

void LinkBudget::recordOpenFlowBytes(double bytes)
{
    m_openFlowBytes += bytes;
    const auto prepaid = std::min(m_prepaid, bytes);
    m_prepaid -= prepaid;
    spend(bytes - prepaid);
}

// A debt of more than one bucket would delay the recovery after a burst, while callers have already retransmitted.
void LinkBudget::spend(double bytes) { m_tokens = std::max(m_tokens - bytes, -m_capacity); }

bool LinkBudget::usesLessThanEqualShare(std::uint32_t serviceId) const
{
    const auto found = m_serviceOpenings.find(serviceId);
    const auto openings = found == m_serviceOpenings.end() ? 0 : found->second;
    const auto allOpenings = std::accumulate(m_serviceOpenings.begin(), m_serviceOpenings.end(), 0.0, [](double sum, const auto& entry) { return sum + entry.second; });
    const auto services = m_serviceOpenings.size() + (found == m_serviceOpenings.end() ? 1 : 0);
    return services > 1 && openings * static_cast<double>(services) < allOpenings;
}

void LinkBudget::refill()
{
    const auto now = m_clock.now();
    const auto elapsed = std::chrono::duration<double>(now - m_updated).count();
    if (elapsed <= 0)
        return;
    m_updated = now;
    const auto refund = m_prepaid * (1 - std::exp(-elapsed / prepaidSeconds));
    m_prepaid -= refund;
    m_tokens = std::min(m_capacity, m_tokens + refund + plannedShare * m_options.bytesPerSecond * elapsed);
    const auto decay = std::exp(-elapsed / estimateSeconds);
    const auto observed = m_newOpenings * (1 - std::exp(-elapsed / observationSeconds));
    m_newOpenings -= observed;
    m_observedOpenings = m_observedOpenings * decay + observed;
    m_openFlowBytes *= decay;
    for (auto& [service, openings] : m_serviceOpenings)
        openings *= decay;
    const auto inactive = std::remove_if(m_serviceOpenings.begin(), m_serviceOpenings.end(), [](const auto& entry) { return entry.second < inactiveOpenings; });
    m_serviceOpenings.erase(inactive, m_serviceOpenings.end());
}

} // namespace clementinesill::passthrough
