#pragma once

#include "admission/types/admissiondecision.h"
#include "admission/types/requestresult.h"

namespace clementinesill::admission {

// Admission control of one backend server, based only on what its agent observes. Used only on the thread of the agent's
// event loop.
class IAdmission {
public:
    virtual ~IAdmission() = default;

    // Decides whether to admit a new flow. An admitted flow must be released with releaseFlow.
    virtual AdmissionDecision admitFlow() = 0;

    // Decides whether to admit a flow that all other servers rejected, so that its requests are rejected with a Retry-After.
    // Only the connection limit and draining prevent it. An admitted flow must be released with releaseFlow.
    virtual AdmissionDecision admitFlowRejectedElsewhere() = 0;

    virtual void releaseFlow() = 0;

    // Decides whether a request (in stream mode: the flow itself) may start now. An admitted request must be ended with
    // finishRequest.
    virtual AdmissionDecision admitRequest() = 0;

    // Rejects a request for a reason that the caller has established, and counts it for the time to retry after.
    virtual AdmissionDecision rejectRequest(AdmissionReason reason) = 0;

    virtual void finishRequest(const RequestResult& result) = 0;

    // Rejects new flows and requests from now on; those in progress continue.
    virtual void drain() = 0;

    // Restarts the warm-up, because the backend server has restarted or is cold.
    virtual void restartWarmup() = 0;

    virtual AdmissionLoad load() const = 0;
};

} // namespace clementinesill::admission
