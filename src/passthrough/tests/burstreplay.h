#pragma once

#include "passthrough/linkadmission.h"
#include "passthrough/tests/packets.h"
#include "passthrough/types/entrypacket.h"
#include "testing/manualclock.h"

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace clementinesill::passthrough {

// Replays a burst at one balancer of deployment P of docs/hard-load.md: callers that retransmit and repeat, the entry link as a
// queue without limit, and two services of fixed capacity. Agents reset what a service cannot take.
class BurstReplay {
public:
    static constexpr double linkBytesPerSecond = 2.7e6 / 8;
    static constexpr std::chrono::seconds burstStart { 2 };
    static constexpr std::chrono::seconds burstEnd { 10 };
    static constexpr std::chrono::seconds end { 14 };

    struct RequestClass {
        double perSecond;
        std::uint32_t priority;
        std::size_t service;
        // ACKs that the caller sends for the response.
        int responseAcks;
        std::uint64_t forwarded = 0;
        std::uint64_t refused = 0;
        // By second of the replay.
        std::array<std::uint64_t, end.count()> served {};
    };

    BurstReplay(double burst, double budgetBytesPerSecond)
        : m_burst(burst)
        , m_admission({ .link = { .bytesPerSecond = budgetBytesPerSecond, .datagramOverheadBytes = ipAndUdpHeaderBytes }, .forwardHeaderBytes = geneveBytes, .resetBytes = headerBytes }, m_clock, m_metrics)
    {
        for (std::size_t index = 0; index < classes.size(); ++index)
            schedule(Duration(index), [this, index] { arrive(index); });
        while (!m_events.empty() && m_events.begin()->first < m_start + end) {
            const auto event = m_events.extract(m_events.begin());
            m_clock.advance(event.key() - m_clock.now());
            event.mapped()();
        }
    }

    std::uint64_t served(std::size_t index, std::chrono::seconds from, std::chrono::seconds to) const
    {
        std::uint64_t sum = 0;
        for (auto second = from.count(); second < to.count(); ++second)
            sum += classes[index].served.at(static_cast<std::size_t>(second));
        return sum;
    }

    // Shares of deployment P for one of its 22 balancers.
    std::array<RequestClass, 3> classes { { { 59.7, 2, 0, 1 }, { 17, 1, 0, 1 }, { 5.1, 2, 1, 17 } } };
    static constexpr std::array capacities { 154.0, 327.0 };
    Duration longestOpenFlowWait {};
    std::uint64_t refusedOpenFlowPackets = 0;
    std::uint64_t refusedResets = 0;
    std::uint64_t retransmissionsForwarded = 0;
    std::uint64_t retransmissionsRefused = 0;

private:
    static constexpr std::size_t headerBytes = 32;
    static constexpr std::size_t ipAndUdpHeaderBytes = 28;
    static constexpr std::size_t geneveBytes = 48;
    static constexpr std::size_t requestBytes = 1000;
    static constexpr int maximumAttempts = 3;
    static constexpr std::chrono::milliseconds attemptTimeout { 1400 };
    // Time that a service lets a SYN wait.
    static constexpr std::chrono::milliseconds queueTime { 100 };

    struct Attempt {
        std::size_t classIndex;
        int number;
        std::uint16_t port;
        bool ended = false;
        bool accepted = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    void schedule(Duration delay, std::function<void()> action) { m_events.emplace(m_clock.now() + delay, std::move(action)); }

    void arrive(std::size_t index)
    {
        const auto time = m_clock.now() - m_start;
        const auto rate = classes[index].perSecond * (time >= burstStart && time < burstEnd ? m_burst : 1);
        startAttempt(index, 1);
        schedule(seconds(1 / rate), [this, index] { arrive(index); });
    }

    void startAttempt(std::size_t index, int number)
    {
        const auto attempt = std::make_shared<Attempt>(Attempt { .classIndex = index, .number = number, .port = ++m_port });
        for (std::uint32_t copy = 0; copy < FlowPacket::synTransmitTimes.size(); ++copy)
            schedule(FlowPacket::synTransmitTimes[copy], [this, attempt, copy] { sendSyn(attempt, copy); });
        schedule(attemptTimeout, [this, attempt] { endAttempt(attempt); });
    }

    void endAttempt(const AttemptPointer& attempt)
    {
        if (std::exchange(attempt->ended, true) || attempt->accepted || attempt->number == maximumAttempts)
            return;
        startAttempt(attempt->classIndex, attempt->number + 1);
    }

    void sendSyn(const AttemptPointer& attempt, std::uint32_t copy)
    {
        if (attempt->ended || attempt->accepted)
            return;
        auto& requestClass = classes[attempt->classIndex];
        const auto decision = decide(synPacket(attempt->port, copy), requestClass.priority, 0, true);
        const bool forwarded = decision.action == EntryAction::Forward;
        ++(copy ? (forwarded ? retransmissionsForwarded : retransmissionsRefused) : (forwarded ? requestClass.forwarded : requestClass.refused));
        if (forwarded)
            sendOnLink(geneveBytes + headerBytes, [this, attempt] { reachServer(attempt); });
        else if (decision.action == EntryAction::Reset)
            sendOnLink(headerBytes, [this, attempt] { endAttempt(attempt); });
        else if (!copy)
            ++refusedResets;
    }

    void reachServer(const AttemptPointer& attempt)
    {
        if (attempt->accepted)
            return;
        const auto service = classes[attempt->classIndex].service;
        auto& busyUntil = m_busyUntil[service];
        busyUntil = std::max(busyUntil, m_clock.now());
        if (busyUntil - m_clock.now() > queueTime) {
            endAttempt(attempt);
            return;
        }
        // A SYN of an attempt that the caller gave up takes a slot for nothing.
        busyUntil += seconds(1 / capacities[service]);
        if (std::exchange(attempt->accepted, true) || attempt->ended)
            return;
        sendOpenFlowPacket(attempt, 0, [] {});
        sendOpenFlowPacket(attempt, requestBytes, [this, attempt] {
            auto& requestClass = classes[attempt->classIndex];
            ++requestClass.served.at(static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(m_clock.now() - m_start).count()));
            for (int ack = 0; ack < requestClass.responseAcks; ++ack)
                sendOpenFlowPacket(attempt, 0, [] {});
        });
    }

    void sendOpenFlowPacket(const AttemptPointer& attempt, std::size_t payload, std::function<void()> reached)
    {
        const auto decision = decide(callerPacket(1, static_cast<std::uint16_t>(payload), 1001, attempt->port), classes[attempt->classIndex].priority, payload, false);
        if (decision.action != EntryAction::Forward)
            ++refusedOpenFlowPackets;
        longestOpenFlowWait = std::max(longestOpenFlowWait, sendOnLink(geneveBytes + headerBytes + payload, std::move(reached)));
    }

    EntryDecision decide(const FlowPacket& packet, std::uint32_t priority, std::size_t payload, bool opensFlow)
    {
        const std::vector<std::byte> bytes(headerBytes + payload);
        return m_admission.admit({ .action = EntryAction::Forward, .reason = EntryReason::FirstAccepting, .opensFlow = opensFlow }, { .packet = packet, .bytes = bytes, .priority = priority });
    }

    // Returns how long the datagram waits before the link starts to send it.
    Duration sendOnLink(std::size_t bytes, std::function<void()> reached)
    {
        const auto begin = std::max(m_linkFree, m_clock.now());
        m_linkFree = begin + seconds(static_cast<double>(bytes + ipAndUdpHeaderBytes) / linkBytesPerSecond);
        schedule(m_linkFree - m_clock.now(), std::move(reached));
        return begin - m_clock.now();
    }

    static Duration seconds(double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value)); }

    ManualClock m_clock;
    const MonotonicTime m_start = m_clock.now();
    const double m_burst;
    MetricsRegistry m_metrics;
    LinkAdmission m_admission;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    MonotonicTime m_linkFree;
    std::array<MonotonicTime, 2> m_busyUntil {};
    std::uint16_t m_port = 0;
};

} // namespace clementinesill::passthrough
