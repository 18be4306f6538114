#include "admission/queuedadmission.h"

#include <algorithm>

namespace clementinesill::admission {

QueuedAdmission::QueuedAdmission(IAdmission& admission, const QueueOptions& options, const IClock& clock)
    : m_admission(admission)
    , m_clock(clock)
    , m_queue({ .maximumLength = options.maximumLength }, clock)
    , m_standingQueue(options, clock)
{
}

bool QueuedAdmission::hasFreeSlot() const
{
    const auto load = m_admission.load();
    return load.requests < load.limit;
}

Duration QueuedAdmission::timePerStart() const
{
    return m_slotTime.value() / std::max(m_admission.load().limit, 1U);
}

QueueingDecision QueuedAdmission::submit(QueueTraits traits)
{
    AdmissionDecision decision { .reason = AdmissionReason::SlotLimit };
    // Queued requests are admitted before new ones. finish() admits them to every free slot, so those that still wait beside one
    // have expired.
    if (m_queue.empty() || hasFreeSlot()) {
        decision = m_admission.admitRequest();
        const auto temporary = decision.reason == AdmissionReason::SlotLimit || decision.reason == AdmissionReason::WarmupLimit;
        if (!temporary)
            return { .decision = decision };
        m_standingQueue.recordWait(Duration::zero());
    }
    const auto now = m_clock.now();
    traits.latestStart = std::min(traits.latestStart, now + m_standingQueue.maximumWait());
    // The progress of the running requests is not known, so the next slot may become free at any moment.
    const auto result = m_queue.push(traits, Duration::zero(), timePerStart());
    if (!result.id)
        return { .decision = m_admission.rejectRequest(AdmissionReason::QueueTooLong) };
    m_queuedAt.emplace(*result.id, now);
    QueueingDecision queued { .decision = decision, .queuedRequest = QueuedRequest { .id = *result.id, .maximumWait = traits.latestStart - now } };
    for (const auto id : result.displaced) {
        // The wait of a displaced request is cut short, so it says nothing about a standing queue.
        m_queuedAt.erase(id);
        queued.displaced.push_back({ id, m_admission.rejectRequest(AdmissionReason::QueueTooLong) });
    }
    return queued;
}

AdmissionDecision QueuedAdmission::dequeue(std::uint64_t id)
{
    if (m_queue.remove(id))
        recordWait(id);
    return m_admission.admitRequest();
}

std::vector<WaitOutcome> QueuedAdmission::finish(const RequestResult& result)
{
    m_admission.finishRequest(result);
    m_slotTime.record(result.slotTime);
    std::vector<WaitOutcome> outcomes;
    while (hasFreeSlot()) {
        const auto next = m_queue.pop();
        if (!next)
            break;
        recordWait(*next);
        outcomes.push_back({ *next, m_admission.admitRequest() });
    }
    return outcomes;
}

void QueuedAdmission::recordWait(std::uint64_t id)
{
    const auto queuedAt = m_queuedAt.extract(id);
    m_standingQueue.recordWait(m_clock.now() - queuedAt.mapped());
}

} // namespace clementinesill::admission
