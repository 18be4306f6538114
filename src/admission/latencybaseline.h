#pragma once

#include "foundation/iclock.h"

#include <array>
#include <cstddef>

namespace clementinesill::admission {

// Compares the median of the latest latencies with a slowly moving median of all.
class LatencyBaseline {
public:
    LatencyBaseline(double step, Duration floor);

    void record(Duration latency);

    // Whether the recent median exceeds both the floor and the baseline by the step factor.
    bool stepped() const;

    // Forgets the recent latencies, not the baseline.
    void clearRecent();

private:
    static constexpr std::size_t recentCount = 8;

    double recentMedian() const;

    double m_step;
    double m_floorSeconds;
    std::array<double, recentCount> m_recent {};
    std::size_t m_recorded = 0;
    double m_baselineSeconds = 0;
};

} // namespace clementinesill::admission
