#pragma once

#include "admission/iadmission.h"
#include "admission/types/admissionoptions.h"
#include "admission/warmuplimit.h"

namespace clementinesill::admission {

// Counts one backend server's connections and requests and limits them to its connection limit, slots and warm-up limit.
class Admission final : public IAdmission {
public:
    Admission(const AdmissionOptions& options, const IClock& clock);

    AdmissionDecision admitFlow() override;
    AdmissionDecision admitFlowRejectedElsewhere() override;
    void releaseFlow() override;
    AdmissionDecision admitRequest() override;
    AdmissionDecision rejectRequest(AdmissionReason reason) override { return reject(reason); }
    void finishRequest(const RequestResult& result) override;
    void drain() override;
    void restartWarmup() override;
    AdmissionLoad load() const override;

    // Caps concurrent requests at `cap` for `duration` because of the result of a health or load endpoint; never raises the limit.
    void lowerLimit(std::uint32_t cap, Duration duration);

private:
    std::uint32_t limit() const;
    std::uint32_t flowLimit() const;
    AdmissionReason checkRequest() const;
    AdmissionDecision reject(AdmissionReason reason);
    void decayCounters();

    AdmissionOptions m_options;
    const IClock& m_clock;
    WarmupLimit m_warmup;
    std::uint32_t m_flows = 0;
    std::uint32_t m_requests = 0;
    bool m_draining = false;
    MonotonicTime m_lastHalving;
    std::uint32_t m_rejected = 0;
    std::uint32_t m_finished = 0;
};

} // namespace clementinesill::admission
