#pragma once

#include "admission/iadmission.h"
#include "admission/requestqueue.h"
#include "admission/types/queueingdecision.h"

#include <optional>
#include <vector>

namespace clementinesill::admission {

// Admission with a short queue: requests that find no free slot wait for one, for a bounded time.
class QueuedAdmission {
public:
    QueuedAdmission(IAdmission& admission, const QueueOptions& options, const IClock& clock);

    // Admits, queues or rejects a request.
    QueueingDecision submit(QueuePriority priority);

    // Removes a queued request after its maximum wait or when its caller has gone. It may still be admitted.
    AdmissionDecision dequeue(std::uint64_t id);

    // Ends an admitted request; returns the ids of the queued requests that are now admitted.
    std::vector<std::uint64_t> finish(const RequestResult& result);

    std::size_t queued() const { return m_queue.size(); }

private:
    bool hasFreeSlot() const;

    IAdmission& m_admission;
    RequestQueue m_queue;
};

} // namespace clementinesill::admission
