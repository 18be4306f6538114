#pragma once

#include "admission/latencybaseline.h"
#include "admission/types/admissiondecision.h"
#include "admission/types/requestresult.h"
#include "admission/types/warmupoptions.h"

#include <array>

namespace clementinesill::admission {

// Limit on concurrent requests that is learnt from the requests' own ends: additive growth, multiplicative fall.
//
// It starts low, because a cold server collapses under its full share. Health and load endpoints lag or
// mislead, so they can lower the limit through `lower` and never raise it.
class WarmupLimit {
public:
    WarmupLimit(const WarmupOptions& options, const IClock& clock);

    // Requests that may run at once; between 1 and the maximum.
    std::uint32_t limit() const;

    // Takes in a finished request. inProgress counts the requests that ran while it did, itself included.
    void onFinished(const RequestResult& result, std::uint32_t inProgress);

    // Falls back to the start: the server is cold.
    void restart();

    // Caps the limit at `cap` for `duration`, as a health or load endpoint suggests.
    void lower(std::uint32_t cap, Duration duration);

private:
    void onAnswered(const RequestResult& result, std::uint32_t inProgress);
    void onLatency(double ratio);
    void onOverload();
    bool mayGrow(std::uint32_t inProgress) const;
    void slowGrowth();

    WarmupOptions m_options;
    const IClock& m_clock;
    // One for each kind of request.
    std::array<LatencyBaseline, 2> m_baselines;
    // Latency over baseline in the last window.
    double m_latencyRatio = 1;
    std::uint32_t m_slowWindows = 0;
    double m_limit;
    Duration m_growthInterval;
    MonotonicTime m_lastChange;
    MonotonicTime m_lastShrink;
    std::uint32_t m_successes = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_cap;
    MonotonicTime m_capEnd;
};

} // namespace clementinesill::admission
