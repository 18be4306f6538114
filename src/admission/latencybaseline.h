#pragma once

#include "foundation/iclock.h"

#include <array>
#include <cstddef>
#include <optional>

namespace clementinesill::admission {

// Compares the second lowest latency of each window of requests with a slowly adapting baseline.
//
// A cold or overloaded server slows down even the fastest requests, whereas a mix of fast and slow requests does not affect
// the fastest ones. Therefore the second lowest latency is compared, not the mean or the median.
class LatencyBaseline {
public:
    // Latencies below the floor count as the floor.
    LatencyBaseline(Duration floor, const IClock& clock);

    // Records a latency. If it completes a window, returns the ratio of the window's second lowest latency to the baseline.
    std::optional<double> record(Duration latency);

    // Discards the current window; keeps the baseline.
    void clearWindow() { m_recorded = 0; }

private:
    static constexpr std::size_t windowSize = 16;

    double secondLowest() const;
    void updateBaseline(double seconds);

    const IClock& m_clock;
    double m_floorSeconds;
    std::array<double, windowSize> m_window {};
    std::size_t m_recorded = 0;
    double m_baselineSeconds = 0;
    MonotonicTime m_lastUpdate;
};

} // namespace clementinesill::admission
