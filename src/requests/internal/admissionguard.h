#pragma once

#include "requests/internal/requestadmitter.h"

#include <utility>

namespace clementinesill::requests {

// RAII guard of one admitted request. The destructor finishes it as cancelled unless it was finished before.
class AdmissionGuard {
public:
    explicit AdmissionGuard(RequestAdmitter& admitter)
        : m_admitter(&admitter)
    {
    }

    ~AdmissionGuard() { finish({ .outcome = admission::RequestOutcome::Cancelled }); }
    AdmissionGuard(const AdmissionGuard&) = delete;
    AdmissionGuard& operator=(const AdmissionGuard&) = delete;

    // Calls after the first have no effect.
    void finish(const admission::RequestResult& result)
    {
        if (auto* admitter = std::exchange(m_admitter, nullptr))
            admitter->finish(result);
    }

private:
    RequestAdmitter* m_admitter;
};

} // namespace clementinesill::requests
