#pragma once

#include "admission/latencybaseline.h"
#include "admission/types/admissiondecision.h"
#include "admission/types/requestresult.h"
#include "admission/types/warmupoptions.h"

#include <array>

namespace clementinesill::admission {

// Limit on concurrent requests that adapts to the outcomes of requests: additive increase, multiplicative decrease.
//
// It starts low, because a cold server collapses under its full share of requests. Results of health and load endpoints can be
// late or wrong, so they can lower the limit through `lower`, but never raise it.
class WarmupLimit {
public:
    WarmupLimit(const WarmupOptions& options, const IClock& clock);

    // Maximum number of concurrent requests, at least 1.
    std::uint32_t limit() const;

    // Adapts the limit to a finished request. `inProgress` is the number of requests in progress, including it.
    void onFinished(const RequestResult& result, std::uint32_t inProgress);

    // Resets the limit to its initial value for a cold server.
    void restart();

    // Caps the limit at `cap`, but at least 1, for `duration`. Replaces the previous cap.
    void lower(std::uint32_t cap, Duration duration);

private:
    void onCompleted(const RequestResult& result, std::uint32_t inProgress);
    void onLatencyRatio(double ratio);
    void onFailure();
    bool canIncrease(std::uint32_t inProgress) const;
    void delayIncrease();

    WarmupOptions m_options;
    const IClock& m_clock;
    // One for each RequestKind.
    std::array<LatencyBaseline, 2> m_baselines;
    // Ratio of latency to baseline in the last window of requests.
    double m_latencyRatio = 1;
    std::uint32_t m_consecutiveSlowWindows = 0;
    double m_limit;
    Duration m_increaseInterval;
    MonotonicTime m_lastChange;
    MonotonicTime m_lastDecrease;
    // Successful requests since the last change of the limit.
    std::uint32_t m_successes = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_cap;
    MonotonicTime m_capEnd;
};

} // namespace clementinesill::admission
