#pragma once

#include "admission/types/admissiondecision.h"
#include "admission/types/requestresult.h"

namespace clementinesill::admission {

// Decides what one backend server may be given, from what its agent sees itself. Thread-confined to the agent's loop.
class IAdmission {
public:
    virtual ~IAdmission() = default;

    // Whether a new flow may be taken. An admitted flow must be released with releaseFlow.
    virtual AdmissionDecision admitFlow() = 0;

    // Whether a flow that every other server refused may be taken, so that its requests are told when to come back. Only
    // the connection limit and a drain forbid it. An admitted flow must be released with releaseFlow.
    virtual AdmissionDecision admitUnplacedFlow() = 0;

    virtual void releaseFlow() = 0;

    // Whether a request (in stream mode: a flow's work) may start now. An admitted one must be ended with finishRequest.
    virtual AdmissionDecision admitRequest() = 0;
    virtual void finishRequest(const RequestResult& result) = 0;

    // Takes nothing new from now on; what is in progress goes on.
    virtual void drain() = 0;

    // Falls back to the start of the warm-up: the backend server was seen restarted or cold.
    virtual void restartWarmup() = 0;

    virtual AdmissionLoad load() const = 0;
};

} // namespace clementinesill::admission
