#include "admission/queuedadmission.h"

namespace clementinesill::admission {

QueuedAdmission::QueuedAdmission(IAdmission& admission, const QueueOptions& options, const IClock& clock)
    : m_admission(admission)
    , m_queue(options, clock)
{
}

bool QueuedAdmission::hasRoom() const
{
    const auto load = m_admission.load();
    return load.requests < load.limit;
}

EntryDecision QueuedAdmission::enter(QueuePriority priority)
{
    AdmissionDecision decision { .reason = AdmissionReason::SlotLimit };
    // Whoever waits already goes first.
    if (m_queue.empty()) {
        decision = m_admission.admitRequest();
        const auto passing = decision.reason == AdmissionReason::SlotLimit || decision.reason == AdmissionReason::WarmupLimit;
        if (!passing)
            return { .decision = decision };
    }
    if (const auto place = m_queue.offer(priority))
        return { .decision = decision, .place = place };
    decision = m_admission.admitRequest();
    if (!decision.admitted())
        decision.reason = AdmissionReason::QueueTooLong;
    return { .decision = decision };
}

AdmissionDecision QueuedAdmission::leave(std::uint64_t id)
{
    m_queue.remove(id);
    return m_admission.admitRequest();
}

std::vector<std::uint64_t> QueuedAdmission::finish(const RequestResult& result)
{
    m_admission.finishRequest(result);
    std::vector<std::uint64_t> started;
    while (!m_queue.empty() && hasRoom()) {
        if (!m_admission.admitRequest().admitted())
            break;
        started.push_back(*m_queue.take());
    }
    return started;
}

} // namespace clementinesill::admission
