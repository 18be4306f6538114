#include "admission/admission.h"

#include <algorithm>

namespace clementinesill::admission {

namespace {
// Over which refusals and completions are compared to tell a caller when to come back.
constexpr auto retryWindow = std::chrono::seconds(1);
constexpr std::uint32_t shortestRetrySeconds = 1;
constexpr std::uint32_t longestRetrySeconds = 30;

WarmupOptions withMaximum(WarmupOptions options, std::uint32_t slots)
{
    options.maximum = slots;
    return options;
}
} // namespace

Admission::Admission(const AdmissionOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_warmup(withMaximum(options.warmup, options.slots), clock)
    , m_windowStart(clock.now())
{
}

std::uint32_t Admission::limit() const
{
    return m_options.warmupOff ? m_options.slots : std::min(m_warmup.limit(), m_options.slots);
}

// A cold server is given its share of the connections too, as each may bring a request.
std::uint32_t Admission::flowLimit() const
{
    const auto share = static_cast<std::uint64_t>(m_options.connectionLimit) * limit() / std::max(m_options.slots, 1U);
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(share), std::min(m_options.connectionLimit, 1U));
}

AdmissionReason Admission::requestReason() const
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
        return refuse(AdmissionReason::ConnectionLimit);
    const auto reason = requestReason();
    if (reason != AdmissionReason::Admitted)
        return refuse(reason);
    if (m_flows >= flowLimit())
        return refuse(AdmissionReason::WarmupLimit);
    ++m_flows;
    return {};
}

AdmissionDecision Admission::admitUnplacedFlow()
{
    if (m_draining)
        return refuse(AdmissionReason::Draining);
    if (m_flows >= m_options.connectionLimit)
        return refuse(AdmissionReason::ConnectionLimit);
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
    const auto reason = requestReason();
    if (reason != AdmissionReason::Admitted)
        return refuse(reason);
    ++m_requests;
    return {};
}

void Admission::finishRequest(const RequestResult& result)
{
    if (m_requests == 0)
        return;
    rollWindow();
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

AdmissionDecision Admission::refuse(AdmissionReason reason)
{
    rollWindow();
    ++m_refused;
    // As many windows as the server needs to finish what was refused in this one.
    const auto windows = shortestRetrySeconds + m_refused / std::max(m_finished, 1U);
    return { reason, std::chrono::seconds(std::min(windows, longestRetrySeconds)) };
}

void Admission::rollWindow()
{
    const auto now = m_clock.now();
    if (now - m_windowStart < retryWindow)
        return;
    m_windowStart = now;
    m_refused /= 2;
    m_finished /= 2;
}

} // namespace clementinesill::admission
