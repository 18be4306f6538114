#pragma once

#include "admission/admissionqueue.h"
#include "admission/tests/eventsimulation.h"
#include "admission/tests/queuemodeloptions.h"
#include "admission/tests/queuemodelresult.h"

#include <algorithm>
#include <map>
#include <vector>

namespace clementinesill::admission {

// Servers with an AdmissionQueue each, and callers that arrive as Poisson processes at random servers. A rejected caller makes
// two further attempts, as on the platform, each at a random server.
class QueueModel {
public:
    explicit QueueModel(const QueueModelOptions& options)
        : m_options(options)
        , m_simulation(options.seed)
    {
        double rate = 0;
        double load = 0;
        for (const auto& requestClass : options.classes) {
            rate += requestClass.rate * requestClass.burst;
            load += requestClass.rate * requestClass.burst * seconds(requestClass.work);
        }
        m_timePerStart = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(load / rate / options.slots));
        for (std::uint32_t index = 0; index < options.servers; ++index)
            m_servers.push_back({ AdmissionQueue({ .maximumLength = options.queueLength }, m_simulation.clock()), {}, 0 });
    }

    QueueModelResult run()
    {
        for (std::size_t index = 0; index < m_options.classes.size(); ++index)
            scheduleArrival(index);
        m_simulation.run(m_options.length);
        return m_result;
    }

private:
    static constexpr int maximumAttempts = 3;
    // A caller needs a round trip to learn of its rejection and to try again.
    static constexpr Duration retryDelay = std::chrono::milliseconds(5);
    // Bound of a waiting SYN in pass-through mode: a third of the latency target, at most 150 ms.
    static constexpr int targetShare = 3;
    static constexpr Duration maximumWait = std::chrono::milliseconds(150);

    struct Request {
        std::size_t classIndex = 0;
        MonotonicTime arrivedAt;
        MonotonicTime attemptAt;
        int attempt = 1;
        Duration work { 0 };
    };

    struct Server {
        AdmissionQueue queue;
        std::map<std::uint64_t, Request> waiting;
        std::uint32_t running = 0;
    };

    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration elapsed() const { return m_simulation.clock().now() - m_simulation.begin(); }
    const RequestLoad& loadOf(const Request& request) const { return m_options.classes[request.classIndex]; }

    void scheduleArrival(std::size_t index)
    {
        const auto& load = m_options.classes[index];
        const auto inBurst = elapsed() >= m_options.burstBegin && elapsed() < m_options.burstEnd;
        const auto delay = m_simulation.gap(load.rate * (inBurst ? load.burst : 1));
        // The rate changes at the begin and at the end of the burst.
        for (const auto change : { m_options.burstBegin, m_options.burstEnd }) {
            if (elapsed() < change && elapsed() + delay >= change) {
                m_simulation.schedule(change - elapsed(), [this, index] { scheduleArrival(index); });
                return;
            }
        }
        m_simulation.schedule(delay, [this, index] {
            scheduleArrival(index);
            const auto work = std::chrono::duration_cast<Duration>(m_options.classes[index].work * (0.5 + m_simulation.uniform()));
            m_result.addArrival(index, elapsed(), work);
            arrive({ .classIndex = index, .arrivedAt = m_simulation.clock().now(), .work = work });
        });
    }

    void arrive(Request request)
    {
        request.attemptAt = m_simulation.clock().now();
        auto& server = m_servers[m_simulation.below(m_servers.size())];
        if (server.running < m_options.slots) {
            start(server, request);
            return;
        }
        const auto traits = makeTraits(request);
        const auto result = server.queue.push(traits, m_timePerStart, m_timePerStart);
        if (result.id) {
            server.waiting.emplace(*result.id, request);
            m_simulation.schedule(traits.latestStart - request.attemptAt, [this, &server] { rejectAll(server, server.queue.takeExpired()); });
        } else {
            retry(request);
        }
        rejectAll(server, result.displaced);
    }

    QueueTraits makeTraits(const Request& request) const
    {
        const auto& load = loadOf(request);
        const auto latestStart = request.attemptAt + std::min(load.latencyTarget / targetShare, maximumWait);
        if (m_options.arrivalOrder)
            return { .latestStart = latestStart };
        return { .priority = load.priority, .expectedWork = load.work, .targetTime = request.attemptAt + load.latencyTarget, .latestStart = latestStart };
    }

    void rejectAll(Server& server, const std::vector<std::uint64_t>& ids)
    {
        for (const auto id : ids)
            retry(server.waiting.extract(id).mapped());
    }

    void retry(Request request)
    {
        if (request.attempt == maximumAttempts)
            return;
        ++request.attempt;
        m_simulation.schedule(retryDelay, [this, request] { arrive(request); });
    }

    void start(Server& server, const Request& request)
    {
        ++server.running;
        m_result.addWait(m_simulation.clock().now() - request.attemptAt);
        m_simulation.schedule(request.work, [this, &server, request] { finish(server, request); });
    }

    void finish(Server& server, const Request& request)
    {
        --server.running;
        if (m_simulation.clock().now() - request.arrivedAt <= loadOf(request).timeout)
            m_result.addResponse(request.classIndex, request.arrivedAt - m_simulation.begin(), elapsed(), request.work);
        if (const auto id = server.queue.pop())
            start(server, server.waiting.extract(*id).mapped());
    }

    QueueModelOptions m_options;
    EventSimulation m_simulation;
    Duration m_timePerStart { 0 };
    std::vector<Server> m_servers;
    QueueModelResult m_result;
};

} // namespace clementinesill::admission
