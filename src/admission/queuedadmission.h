#pragma once

#include "admission/iadmission.h"
#include "admission/requestqueue.h"
#include "admission/types/entrydecision.h"

#include <optional>
#include <vector>

namespace clementinesill::admission {

// Admission with the short queue before it: requests that find no slot wait for one within the queue's bound.
class QueuedAdmission {
public:
    QueuedAdmission(IAdmission& admission, const QueueOptions& options, const IClock& clock);

    EntryDecision enter(QueuePriority priority);

    // A queued request waited as long as it may, or its caller left. It may still be admitted.
    AdmissionDecision leave(std::uint64_t id);

    // Ends an admitted request; returns the queued ones that start now.
    std::vector<std::uint64_t> finish(const RequestResult& result);

    std::size_t queued() const { return m_queue.size(); }

private:
    bool hasRoom() const;

    IAdmission& m_admission;
    RequestQueue m_queue;
};

} // namespace clementinesill::admission
