#pragma once

#include "admission/iadmission.h"

#include <utility>

namespace clementinesill::agent {

// Admission with a fixed flow limit. Counts flows and warm-up restarts.
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
        if (warmingUp || flows >= static_cast<int>(m_limit))
            return { .reason = admission::AdmissionReason::ConnectionLimit };
        ++flows;
        return {};
    }
    admission::AdmissionDecision admitFlowRejectedElsewhere() override
    {
        const bool wasWarmingUp = std::exchange(warmingUp, false);
        const auto decision = admitFlow();
        warmingUp = wasWarmingUp;
        return decision;
    }
    void releaseFlow() override { --flows; }
    admission::AdmissionDecision admitRequest() override { return {}; }
    admission::AdmissionDecision rejectRequest(admission::AdmissionReason reason) override { return { .reason = reason }; }
    void finishRequest(const admission::RequestResult&) override { }
    void drain() override { m_draining = true; }
    void restartWarmup() override { ++warmupRestarts; }
    admission::AdmissionLoad load() const override { return { .flows = static_cast<std::uint32_t>(flows), .limit = m_limit }; }

    // If set, rejects flows in admitFlow but not in admitFlowRejectedElsewhere.
    bool warmingUp = false;
    int flows = 0;
    int warmupRestarts = 0;

private:
    std::uint32_t m_limit;
    bool m_draining = false;
};

} // namespace clementinesill::agent
