#include "requests/internal/requestadmitter.h"

#include <algorithm>

namespace clementinesill::requests {

using admission::AdmissionDecision;

RequestAdmitter::RequestAdmitter(admission::IAdmission& admission, const admission::QueueOptions& options, const IClock& clock, boost::asio::any_io_executor executor)
    : m_admission(admission, options, clock)
    , m_executor(executor)
{
}

boost::asio::awaitable<AdmissionDecision> RequestAdmitter::admit(admission::QueuePriority priority, Duration maxWait)
{
    const auto entry = m_admission.submit(priority);
    if (!entry.queuedRequest)
        co_return entry.decision;
    const auto id = entry.queuedRequest->id;
    Signal signal(m_executor);
    m_waiters.emplace(id, Waiter { signal });
    co_await signal.wait(std::min(entry.queuedRequest->maximumWait, maxWait));
    const auto admitted = m_waiters.at(id).admitted;
    m_waiters.erase(id);
    co_return admitted ? AdmissionDecision {} : m_admission.dequeue(id);
}

void RequestAdmitter::finish(const admission::RequestResult& result)
{
    for (const auto id : m_admission.finish(result)) {
        auto& waiter = m_waiters.at(id);
        waiter.admitted = true;
        waiter.signal.notify();
    }
}

} // namespace clementinesill::requests
