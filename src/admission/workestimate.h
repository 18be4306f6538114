#pragma once

#include "foundation/iclock.h"

namespace clementinesill::admission {

// Moving average of the time that a request occupies a slot.
class WorkEstimate {
public:
    void record(Duration work) { m_value = m_value == Duration::zero() ? work : m_value + (work - m_value) / weightDivisor; }

    // Zero before the first request.
    Duration value() const { return m_value; }

private:
    // One eighth follows a change within some ten requests and evens out single slow ones.
    static constexpr int weightDivisor = 8;

    Duration m_value { 0 };
};

} // namespace clementinesill::admission
