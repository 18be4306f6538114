#pragma once

#include "admission/iadmission.h"

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
        if (flows >= static_cast<int>(m_limit))
            return { .reason = admission::AdmissionReason::ConnectionLimit };
        ++flows;
        return {};
    }
    void releaseFlow() override { --flows; }
    admission::AdmissionDecision admitRequest() override { return {}; }
    void finishRequest(const admission::RequestResult&) override { }
    void drain() override { m_draining = true; }
    void restartWarmup() override { ++warmupRestarts; }
    admission::AdmissionLoad load() const override { return { .flows = static_cast<std::uint32_t>(flows), .limit = m_limit }; }

    int flows = 0;
    int warmupRestarts = 0;

private:
    std::uint32_t m_limit;
    bool m_draining = false;
};

} // namespace clementinesill::agent
