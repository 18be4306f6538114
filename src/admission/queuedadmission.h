#pragma once

#include "admission/admissionqueue.h"
#include "admission/iadmission.h"
#include "admission/standingqueue.h"
#include "admission/types/queueingdecision.h"
#include "foundation/movingaverage.h"

#include <map>
#include <vector>

namespace clementinesill::admission {

// Admission with a short queue: requests that find no free slot wait for one, for a bounded time, in the order of
// AdmissionQueue.
class QueuedAdmission {
public:
    QueuedAdmission(IAdmission& admission, const QueueOptions& options, const IClock& clock);

    // Admits, queues or rejects a request. Its wait ends at its latestStart or at the bound of the standing queue, whichever
    // is earlier.
    QueueingDecision submit(QueueTraits traits);

    // Removes a queued request after its maximum wait or when its caller has gone. It may still be admitted.
    AdmissionDecision dequeue(std::uint64_t id);

    // Ends an admitted request; returns the queued requests that are now admitted or, while draining, rejected.
    std::vector<WaitOutcome> finish(const RequestResult& result);

    std::size_t queued() const { return m_queue.size(); }

private:
    bool hasFreeSlot() const;
    Duration timePerStart() const;
    void recordWait(std::uint64_t id);

    IAdmission& m_admission;
    const IClock& m_clock;
    AdmissionQueue m_queue;
    StandingQueue m_standingQueue;
    // Time that a request occupies a slot; follows a change within some eight requests.
    MovingAverage<8> m_slotTime;
    std::map<std::uint64_t, MonotonicTime> m_queuedAt;
};

} // namespace clementinesill::admission
