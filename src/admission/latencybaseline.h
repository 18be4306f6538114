#pragma once

#include "foundation/iclock.h"

#include <array>
#include <cstddef>
#include <optional>

namespace clementinesill::admission {

// Compares the lower latencies of each window with a slowly moving baseline of the same.
//
// A cold or overloaded server slows down its quickest requests too, while a mix of quick and slow requests
// leaves them as they are. So the second lowest latency of a window is compared, not its mean or median.
class LatencyBaseline {
public:
    // Latencies below the floor count as the floor.
    LatencyBaseline(Duration floor, const IClock& clock);

    // Takes in one latency; returns the ratio of the window to the baseline when it completes a window.
    std::optional<double> record(Duration latency);

    // Starts a new window; the baseline stays.
    void clearWindow() { m_recorded = 0; }

private:
    static constexpr std::size_t windowSize = 16;

    double secondLowest() const;
    void moveBaseline(double seconds);

    const IClock& m_clock;
    double m_floorSeconds;
    std::array<double, windowSize> m_window {};
    std::size_t m_recorded = 0;
    double m_baselineSeconds = 0;
    MonotonicTime m_lastMove;
};

} // namespace clementinesill::admission
