#include "admission/queuedadmission.h"

namespace clementinesill::admission {

QueuedAdmission::QueuedAdmission(IAdmission& admission, const QueueOptions& options, const IClock& clock)
    : m_admission(admission)
    , m_queue(options, clock)
{
}

bool QueuedAdmission::hasFreeSlot() const
{
    const auto load = m_admission.load();
    return load.requests < load.limit;
}

QueueingDecision QueuedAdmission::submit(QueuePriority priority)
{
    AdmissionDecision decision { .reason = AdmissionReason::SlotLimit };
    // Queued requests are admitted before new ones.
    if (m_queue.empty()) {
        decision = m_admission.admitRequest();
        const auto temporary = decision.reason == AdmissionReason::SlotLimit || decision.reason == AdmissionReason::WarmupLimit;
        if (!temporary)
            return { .decision = decision };
    }
    if (const auto queued = m_queue.push(priority))
        return { .decision = decision, .queuedRequest = queued };
    decision = m_admission.admitRequest();
    if (!decision.admitted())
        decision.reason = AdmissionReason::QueueTooLong;
    return { .decision = decision };
}

AdmissionDecision QueuedAdmission::dequeue(std::uint64_t id)
{
    m_queue.remove(id);
    return m_admission.admitRequest();
}

std::vector<std::uint64_t> QueuedAdmission::finish(const RequestResult& result)
{
    m_admission.finishRequest(result);
    std::vector<std::uint64_t> admitted;
    while (!m_queue.empty() && hasFreeSlot()) {
        if (!m_admission.admitRequest().admitted())
            break;
        admitted.push_back(*m_queue.pop());
    }
    return admitted;
}

} // namespace clementinesill::admission
