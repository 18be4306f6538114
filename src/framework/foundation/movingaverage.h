#pragma once

#include "foundation/iclock.h"

namespace clementinesill {

// Exponential moving average of durations. A new sample has a weight of 1/weightDivisor, so the average covers about
// weightDivisor samples.
template <int weightDivisor>
class MovingAverage {
public:
    // With an initial value of zero, the first sample becomes the average.
    explicit MovingAverage(Duration initial = Duration::zero())
        : m_value(initial)
    {
    }

    void record(Duration sample) { m_value = m_value == Duration::zero() ? sample : m_value + (sample - m_value) / weightDivisor; }

    Duration value() const { return m_value; }

private:
    Duration m_value;
};

} // namespace clementinesill
