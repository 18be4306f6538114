#include "admission/admission.h"

#include <algorithm>

namespace clementinesill::admission {

namespace {
// Interval at which the counts of rejected and finished requests, from which Retry-After is computed, are halved.
constexpr auto counterHalvingInterval = std::chrono::seconds(1);
constexpr std::uint32_t minimumRetryAfterSeconds = 1;
constexpr std::uint32_t maximumRetryAfterSeconds = 30;

WarmupOptions withMaximumLimit(WarmupOptions options, std::uint32_t slots)
{
    options.maximumLimit = slots;
    return options;
}
} // namespace

Admission::Admission(const AdmissionOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_warmup(withMaximumLimit(options.warmup, options.slots), clock)
    , m_lastHalving(clock.now())
{
}

std::uint32_t Admission::limit() const
{
    return m_options.warmupOff ? m_options.slots : std::min(m_warmup.limit(), m_options.slots);
}

// Limits connections in proportion to the request limit, because each connection may send a request to a cold server.
std::uint32_t Admission::flowLimit() const
{
    const auto share = static_cast<std::uint64_t>(m_options.connectionLimit) * limit() / std::max(m_options.slots, 1U);
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(share), std::min(m_options.connectionLimit, 1U));
}

AdmissionReason Admission::checkRequest() const
{
    if (m_draining)
        return AdmissionReason::Draining;
    if (m_requests >= m_options.slots)
        return AdmissionReason::SlotLimit;
    if (m_requests >= limit())
        return AdmissionReason::WarmupLimit;
    return AdmissionReason::Admitted;
}

AdmissionDecision Admission::admitFlow()
{
    if (m_flows >= m_options.connectionLimit && !m_draining)
        return reject(AdmissionReason::ConnectionLimit);
    const auto reason = checkRequest();
    if (reason != AdmissionReason::Admitted)
        return reject(reason);
    if (m_flows >= flowLimit())
        return reject(AdmissionReason::WarmupLimit);
    ++m_flows;
    return {};
}

AdmissionDecision Admission::admitFlowRejectedElsewhere()
{
    if (m_draining)
        return reject(AdmissionReason::Draining);
    if (m_flows >= m_options.connectionLimit)
        return reject(AdmissionReason::ConnectionLimit);
    ++m_flows;
    return {};
}

void Admission::releaseFlow()
{
    if (m_flows > 0)
        --m_flows;
}

AdmissionDecision Admission::admitRequest()
{
    const auto reason = checkRequest();
    if (reason != AdmissionReason::Admitted)
        return reject(reason);
    ++m_requests;
    return {};
}

void Admission::finishRequest(const RequestResult& result)
{
    if (m_requests == 0)
        return;
    decayCounters();
    ++m_finished;
    m_warmup.onFinished(result, m_requests);
    --m_requests;
}

void Admission::drain()
{
    m_draining = true;
}

void Admission::restartWarmup()
{
    m_warmup.restart();
}

void Admission::lowerLimit(std::uint32_t cap, Duration duration)
{
    m_warmup.lower(cap, duration);
}

AdmissionLoad Admission::load() const
{
    return { .flows = m_flows, .requests = m_requests, .limit = limit() };
}

AdmissionDecision Admission::reject(AdmissionReason reason)
{
    decayCounters();
    ++m_rejected;
    // Time that the server needs to finish as many requests as were rejected recently, at the rate of finished requests.
    const auto seconds = minimumRetryAfterSeconds + m_rejected / std::max(m_finished, 1U);
    return { reason, std::chrono::seconds(std::min(seconds, maximumRetryAfterSeconds)) };
}

void Admission::decayCounters()
{
    const auto now = m_clock.now();
    if (now - m_lastHalving < counterHalvingInterval)
        return;
    m_lastHalving = now;
    m_rejected /= 2;
    m_finished /= 2;
}

} // namespace clementinesill::admission
