#pragma once

#include "admission/queuedadmission.h"
#include "requests/internal/signal.h"

#include <map>
#include <utility>

namespace clementinesill::requests {

// Wakes the tasks of queued requests when they are admitted, and bounds their wait.
class RequestAdmitter {
public:
    RequestAdmitter(admission::IAdmission& admission, const admission::QueueOptions& options, const IClock& clock, boost::asio::any_io_executor executor);

    // Waits for admission, at most `longestWait`. An admitted request must be ended with finish.
    boost::asio::awaitable<admission::AdmissionDecision> admit(admission::QueuePriority priority, Duration longestWait);

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

// One admitted request; ends it as cancelled unless it was finished before.
class RequestTicket {
public:
    explicit RequestTicket(RequestAdmitter& admitter)
        : m_admitter(&admitter)
    {
    }

    ~RequestTicket() { finish({ .end = admission::RequestEnd::Cancelled }); }
    RequestTicket(const RequestTicket&) = delete;
    RequestTicket& operator=(const RequestTicket&) = delete;

    // Only the first call counts.
    void finish(const admission::RequestResult& result)
    {
        if (auto* admitter = std::exchange(m_admitter, nullptr))
            admitter->finish(result);
    }

private:
    RequestAdmitter* m_admitter;
};

} // namespace clementinesill::requests
