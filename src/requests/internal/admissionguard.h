#pragma once

#include "requests/internal/requestadmitter.h"

#include <utility>

namespace clementinesill::requests {

// RAII guard of one admitted request. The destructor finishes it as cancelled unless it was finished before.
class AdmissionGuard {
public:
    AdmissionGuard(RequestAdmitter& admitter, admission::RequestKind kind)
        : m_admitter(&admitter)
        , m_kind(kind)
        , m_admittedAt(admitter.now())
    {
    }

    ~AdmissionGuard() { finish(admission::RequestOutcome::Cancelled, Duration::zero()); }
    AdmissionGuard(const AdmissionGuard&) = delete;
    AdmissionGuard& operator=(const AdmissionGuard&) = delete;

    // Latency is the time to the start of the response. Calls after the first have no effect.
    void finish(admission::RequestOutcome outcome, Duration latency)
    {
        if (auto* admitter = std::exchange(m_admitter, nullptr))
            admitter->finish({ .outcome = outcome, .latency = latency, .kind = m_kind, .slotTime = admitter->now() - m_admittedAt });
    }

private:
    RequestAdmitter* m_admitter;
    admission::RequestKind m_kind;
    MonotonicTime m_admittedAt;
};

} // namespace clementinesill::requests
