#pragma once

#include "admission/iadmission.h"

#include <utility>

namespace clementinesill::agent {

// Admission with a fixed limit of flows that counts what it is told.
class FakeAdmission final : public admission::IAdmission {
public:
    explicit FakeAdmission(std::uint32_t limit = 1000)
        : m_limit(limit)
    {
    }

    admission::AdmissionDecision admitFlow() override
    {
        if (m_draining)
            return { .reason = admission::AdmissionReason::Draining };
        if (cold || flows >= static_cast<int>(m_limit))
            return { .reason = admission::AdmissionReason::ConnectionLimit };
        ++flows;
        return {};
    }
    admission::AdmissionDecision admitFlowRejectedElsewhere() override
    {
        const bool wasCold = std::exchange(cold, false);
        const auto decision = admitFlow();
        cold = wasCold;
        return decision;
    }
    void releaseFlow() override { --flows; }
    admission::AdmissionDecision admitRequest() override { return {}; }
    void finishRequest(const admission::RequestResult&) override { }
    void drain() override { m_draining = true; }
    void restartWarmup() override { ++warmupRestarts; }
    admission::AdmissionLoad load() const override { return { .flows = static_cast<std::uint32_t>(flows), .limit = m_limit }; }

    // Refuses flows that another server could take.
    bool cold = false;
    int flows = 0;
    int warmupRestarts = 0;

private:
    std::uint32_t m_limit;
    bool m_draining = false;
};

} // namespace clementinesill::agent
