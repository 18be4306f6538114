#pragma once

#include "admission/queuedadmission.h"
#include "requests/internal/signal.h"

#include <map>

namespace clementinesill::requests {

// Lets coroutines wait for admission, for a bounded time, and resumes them when their request is admitted.
class RequestAdmitter {
public:
    RequestAdmitter(admission::IAdmission& admission, const admission::QueueOptions& options, const IClock& clock, boost::asio::any_io_executor executor);

    // Waits for admission, at most for maxWait. An admitted request must be ended with finish.
    boost::asio::awaitable<admission::AdmissionDecision> admit(admission::QueuePriority priority, Duration maxWait);

    void finish(const admission::RequestResult& result);

    std::size_t queued() const { return m_admission.queued(); }

private:
    struct Waiter {
        Signal& signal;
        bool admitted = false;
    };

    admission::QueuedAdmission m_admission;
    boost::asio::any_io_executor m_executor;
    std::map<std::uint64_t, Waiter> m_waiters;
};

} // namespace clementinesill::requests
