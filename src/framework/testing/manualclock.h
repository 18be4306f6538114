#pragma once

#include "foundation/iclock.h"

namespace clementinesill {

// A clock that only advances when a test calls advance().
class ManualClock final : public IClock {
public:
    MonotonicTime now() const override { return m_now; }

    void advance(Duration duration) { m_now += duration; }

private:
    MonotonicTime m_now { std::chrono::hours(1) };
};

} // namespace clementinesill
