#pragma once

#include "admission/admission.h"
#include "admission/queuedadmission.h"
#include "admission/tests/eventsimulation.h"
#include "admission/tests/overloadoptions.h"
#include "admission/tests/overloadresult.h"

#include <algorithm>
#include <map>

namespace clementinesill::admission {

// Discrete-event simulation on a manual clock. Callers arrive as a Poisson process and retry after the Retry-After time. The
// server's requests slow each other down above its capacity; at three times its capacity, it crashes and restarts cold.
class OverloadModel {
public:
    explicit OverloadModel(const OverloadOptions& options)
        : m_options(options)
        , m_simulation(options.seed)
        , m_admission({ .slots = options.slots, .connectionLimit = 1000000, .warmupOff = options.warmupOff }, m_simulation.clock())
        , m_queued(m_admission, {}, m_simulation.clock())
        , m_coldSince(m_simulation.begin())
    {
    }

    OverloadResult run()
    {
        scheduleArrival();
        if (m_options.turnsColdAfter > Duration::zero())
            m_simulation.schedule(m_options.turnsColdAfter, [this] { m_coldSince = m_simulation.clock().now(); });
        m_simulation.run(m_options.length);
        const std::chrono::duration<double> length = m_options.length;
        m_result.goodput = static_cast<double>(m_result.completed) / (length.count() * capacity());
        return m_result;
    }

private:
    static constexpr Duration callerTimeout = std::chrono::seconds(1);
    static constexpr std::uint32_t collapseFactor = 3;
    static constexpr int maximumAttempts = 3;

    struct Request {
        MonotonicTime arrivedAt;
        int attempt = 1;
    };

    // Requests per second that the warm server can finish.
    double capacity() const { return m_options.slots / std::chrono::duration<double>(m_options.serviceTime).count(); }

    // Concurrent requests that the server can run now without slowing down.
    double currentSlots() const
    {
        if (m_options.coldTime <= Duration::zero())
            return m_options.slots;
        const auto share = std::chrono::duration<double>(m_simulation.clock().now() - m_coldSince) / std::chrono::duration<double>(m_options.coldTime);
        return 1 + (m_options.slots - 1) * std::min(1.0, share);
    }

    void scheduleArrival()
    {
        m_simulation.schedule(m_simulation.gap(m_options.load * capacity()), [this] {
            scheduleArrival();
            arrive({ m_simulation.clock().now(), 1 });
        });
    }

    void arrive(Request request)
    {
        request.arrivedAt = m_simulation.clock().now();
        if (m_options.admissionOff) {
            start(request);
            return;
        }
        const auto due = request.arrivedAt + callerTimeout;
        const auto entry = m_queued.submit({ .expectedWork = m_options.serviceTime, .targetTime = due, .latestStart = due });
        endWaits(entry.displaced);
        if (!entry.queuedRequest) {
            handleDecision(entry.decision, request);
            return;
        }
        const auto id = entry.queuedRequest->id;
        m_waiting.emplace(id, request);
        m_simulation.schedule(entry.queuedRequest->maximumWait, [this, id, request] {
            if (m_waiting.erase(id) > 0)
                handleDecision(m_queued.dequeue(id), request);
        });
    }

    void handleDecision(const AdmissionDecision& decision, Request request)
    {
        if (decision.admitted()) {
            start(request);
            return;
        }
        ++m_result.rejected;
        if (request.attempt == maximumAttempts)
            return;
        ++request.attempt;
        m_simulation.schedule(decision.retryAfter, [this, request] { arrive(request); });
    }

    void start(const Request& request)
    {
        ++m_running;
        m_result.maximumConcurrency = std::max(m_result.maximumConcurrency, m_running);
        const auto overload = m_running / currentSlots();
        if (overload > 1)
            ++m_result.overruns;
        if (overload > collapseFactor) {
            // All running requests fail and the server restarts cold.
            ++m_result.collapses;
            m_coldSince = m_simulation.clock().now();
            ++m_generation;
        }
        const auto slowdown = std::max(1.0, overload * overload);
        const auto jitter = 0.5 + m_simulation.uniform();
        const auto time = std::chrono::duration_cast<Duration>(m_options.serviceTime * (slowdown * jitter));
        const auto generation = m_generation;
        m_simulation.schedule(time, [this, request, generation, time] { finish(request, generation == m_generation, time); });
    }

    void finish(const Request& request, bool survived, Duration latency)
    {
        --m_running;
        if (survived && m_simulation.clock().now() - request.arrivedAt <= callerTimeout)
            ++m_result.completed;
        if (m_options.admissionOff)
            return;
        const auto outcome = survived ? RequestOutcome::Completed : RequestOutcome::Failed;
        endWaits(m_queued.finish({ .outcome = outcome, .latency = latency, .slotTime = latency }));
    }

    void endWaits(const std::vector<WaitOutcome>& outcomes)
    {
        for (const auto& [id, decision] : outcomes)
            handleDecision(decision, m_waiting.extract(id).mapped());
    }

    OverloadOptions m_options;
    EventSimulation m_simulation;
    Admission m_admission;
    QueuedAdmission m_queued;
    MonotonicTime m_coldSince;
    std::map<std::uint64_t, Request> m_waiting;
    std::uint32_t m_running = 0;
    std::uint64_t m_generation = 0;
    OverloadResult m_result;
};

} // namespace clementinesill::admission
