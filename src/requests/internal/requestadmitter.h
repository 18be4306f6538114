#pragma once

#include "admission/queuedadmission.h"
#include "foundation/movingaverage.h"
#include "requests/internal/signal.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace clementinesill::requests {

// Lets coroutines wait for admission, for a bounded time, and resumes them when their request is admitted.
class RequestAdmitter {
public:
    RequestAdmitter(admission::IAdmission& admission, const admission::QueueOptions& options, const IClock& clock, boost::asio::any_io_executor executor);

    // Waits for admission of a request that is due at the deadline. An admitted request must be ended with finish.
    boost::asio::awaitable<admission::AdmissionDecision> admit(admission::RequestKind kind, MonotonicTime deadline);

    void finish(const admission::RequestResult& result);

    MonotonicTime now() const { return m_clock.now(); }

    std::size_t queued() const { return m_admission.queued(); }

private:
    struct Waiter {
        Signal& signal;
        // Set when the wait has ended before the maximum wait.
        std::optional<admission::AdmissionDecision> decision;
    };

    admission::QueueTraits makeTraits(admission::RequestKind kind, MonotonicTime deadline) const;
    void endWaits(const std::vector<admission::WaitOutcome>& outcomes);

    admission::QueuedAdmission m_admission;
    const IClock& m_clock;
    // One for each RequestKind.
    std::array<MovingAverage<8>, 2> m_work;
    boost::asio::any_io_executor m_executor;
    std::map<std::uint64_t, Waiter> m_waiters;
};

} // namespace clementinesill::requests
