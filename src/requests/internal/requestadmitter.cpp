#include "requests/internal/requestadmitter.h"

#include <algorithm>

namespace clementinesill::requests {

using admission::AdmissionDecision;
using admission::AdmissionReason;

RequestAdmitter::RequestAdmitter(admission::IAdmission& admission, const admission::QueueOptions& options, const IClock& clock, boost::asio::any_io_executor executor)
    : m_admission(admission)
    , m_queue(options, clock)
    , m_executor(executor)
{
}

bool RequestAdmitter::hasRoom() const
{
    const auto load = m_admission.load();
    return load.requests < load.limit;
}

boost::asio::awaitable<AdmissionDecision> RequestAdmitter::admit(admission::QueuePriority priority, Duration longestWait)
{
    // Whoever waits already goes first.
    if (m_queue.empty()) {
        const auto decision = m_admission.admitRequest();
        const auto passing = decision.reason == AdmissionReason::SlotLimit || decision.reason == AdmissionReason::WarmupLimit;
        if (decision.admitted() || !passing)
            co_return decision;
    }
    const auto place = m_queue.offer(priority);
    if (!place) {
        auto decision = m_admission.admitRequest();
        if (!decision.admitted())
            decision.reason = AdmissionReason::QueueTooLong;
        co_return decision;
    }
    Signal signal(m_executor);
    const auto [waiter, inserted] = m_waiters.emplace(place->id, Waiter { signal });
    co_await signal.wait(std::min(place->longestWait, longestWait));
    const auto admitted = waiter->second.admitted;
    m_waiters.erase(place->id);
    if (admitted)
        co_return AdmissionDecision {};
    m_queue.remove(place->id);
    co_return m_admission.admitRequest();
}

void RequestAdmitter::finish(const admission::RequestResult& result)
{
    m_admission.finishRequest(result);
    admitQueued();
}

void RequestAdmitter::admitQueued()
{
    while (!m_queue.empty() && hasRoom()) {
        if (!m_admission.admitRequest().admitted())
            return;
        const auto id = m_queue.take();
        auto& waiter = m_waiters.at(*id);
        waiter.admitted = true;
        waiter.signal.notify();
    }
}

} // namespace clementinesill::requests
