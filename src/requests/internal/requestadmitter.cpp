#include "requests/internal/requestadmitter.h"

namespace clementinesill::requests {

using admission::AdmissionDecision;
using admission::RequestKind;

namespace {
// Priorities in the order of RequestKind: non-idempotent requests go first, because their callers cannot simply send them
// again.
constexpr std::array<std::uint32_t, 2> priorities { 1, 0 };
} // namespace

RequestAdmitter::RequestAdmitter(admission::IAdmission& admission, const admission::QueueOptions& options, const IClock& clock, boost::asio::any_io_executor executor)
    : m_admission(admission, options, clock)
    , m_clock(clock)
    , m_executor(executor)
{
}

boost::asio::awaitable<AdmissionDecision> RequestAdmitter::admit(RequestKind kind, MonotonicTime deadline)
{
    const auto entry = m_admission.submit(makeTraits(kind, deadline));
    endWaits(entry.displaced);
    if (!entry.queuedRequest)
        co_return entry.decision;
    const auto id = entry.queuedRequest->id;
    Signal signal(m_executor);
    m_waiters.emplace(id, Waiter { signal, std::nullopt });
    co_await signal.wait(entry.queuedRequest->maximumWait);
    const auto decision = m_waiters.at(id).decision;
    m_waiters.erase(id);
    co_return decision ? *decision : m_admission.dequeue(id);
}

void RequestAdmitter::finish(const admission::RequestResult& result)
{
    m_work[static_cast<std::size_t>(result.kind)].record(result.slotTime);
    endWaits(m_admission.finish(result));
}

// Callers state a deadline and no latency target, so the deadline is the target too: a request that can no longer meet it goes
// behind those that can.
admission::QueueTraits RequestAdmitter::makeTraits(RequestKind kind, MonotonicTime deadline) const
{
    const auto index = static_cast<std::size_t>(kind);
    return { .priority = priorities[index], .expectedWork = m_work[index].value(), .targetTime = deadline, .latestStart = deadline };
}

void RequestAdmitter::endWaits(const std::vector<admission::WaitOutcome>& outcomes)
{
    for (const auto& [id, decision] : outcomes) {
        auto& waiter = m_waiters.at(id);
        waiter.decision = decision;
        waiter.signal.notify();
    }
}

} // namespace clementinesill::requests
