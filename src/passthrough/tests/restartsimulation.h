#pragma once

#include "agent/types/tableview.h"
#include "dataplane/internal/flowcache.h"
#include "fleet/fleettable.h"
#include "foundation/seededrandom.h"
#include "passthrough/entryrouter.h"
#include "passthrough/tests/packets.h"
#include "passthrough/tests/requestoutcomes.h"
#include "passthrough/tests/restartscenario.h"
#include "passthrough/tests/routerfixture.h"
#include "passthrough/types/releasedopening.h"
#include "passthrough/types/search.h"
#include "passthrough/waitingopenings.h"
#include "testing/manualclock.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace clementinesill::passthrough {

// Discrete-event simulation of the load after a restart of all VMs: callers without a response retry while new callers arrive,
// and the servers are slow at first. Callers, links and servers are simulated; routing uses the real EntryRouter and
// RelayRouter.
class RestartSimulation {
public:
    explicit RestartSimulation(const RestartScenario& scenario);

    // Runs the simulation until no events are left.
    RequestOutcomes run();

private:
    struct Request {
        MonotonicTime sentAt;
        int retryCount = 0;
        std::uint32_t port = 0;
        std::size_t classIndex = 0;
        bool responded = false;
        // The caller has received the SYN-ACK of its current attempt.
        bool opened = false;
    };

    // One server with its agent.
    struct Node : RouterFixture {
        Node(std::uint32_t id, const ManualClock& clock, std::size_t waitingOpenings);

        std::uint32_t id;
        WaitingOpenings waiting;
        RelayRouter waitingRouter;
        // Number of requests in slots.
        std::uint32_t running = 0;
        // Requests that wait for a slot, each with the caller's port.
        std::deque<std::pair<std::size_t, std::uint32_t>> queue;
    };

    void schedule(MonotonicTime time, std::function<void()> event);
    void scheduleArrivals();
    void scheduleArrivals(std::size_t classIndex);
    void startAttempt(std::size_t request);
    void sendSyn(std::size_t request, std::uint32_t retransmissions, std::uint32_t port);
    void onPacketArrival(const Search& search, std::size_t request, const FlowPacket& packet);
    void applyDecision(Node& node, RelayDecision decision, Search search, std::size_t request, const FlowPacket& packet);
    void releaseWaiting(Node& node);
    void openFlow(Node& node, std::size_t request, std::uint32_t port);
    void sendRequest(Node& node, std::size_t request, std::uint32_t port);
    void startRequest(Node& node, std::size_t request, std::uint32_t port);
    void finishRequest(Node& node, std::size_t request, std::uint32_t port, Duration work);
    void retry(std::size_t request, std::uint32_t port);
    bool isCurrentAttempt(std::size_t request, std::uint32_t port) const;
    RelayRouter& router(Node& node) const { return m_scenario.waitingOpenings ? node.waitingRouter : node.router; }
    fleet::FlowKey flowKey(std::size_t request, std::uint32_t port) const;
    FlowPacket packetOfCaller(FlowPacket packet, std::size_t request, std::uint32_t port) const;
    FlowPacket packetOfServer(FlowPacket packet, std::size_t request, std::uint32_t port) const;
    void recordGoodput(Duration work);
    // Requests sent from then on should be served as before the burst.
    MonotonicTime recoveryEnd() const { return m_outageEnd + m_scenario.burstLength + std::chrono::seconds(1); }
    agent::TableView view() const { return { .table = *m_table, .confirmedAt = {} }; }

    RestartScenario m_scenario;
    ManualClock m_clock;
    SeededRandom m_random;
    MonotonicTime m_outageEnd;
    std::shared_ptr<const fleet::FleetTable> m_table;
    dataplane::FlowCache m_cache { 4096 };
    EntryRouter m_entryRouter { m_cache, "mandaue" };
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::vector<Request> m_requests;
    // Identifies an attempt; the upper bits are added to the caller's address.
    std::uint32_t m_lastPort = 0;
    // Request and attempt of each flow.
    std::map<fleet::FlowKey, std::pair<std::size_t, std::uint32_t>> m_attempts;
    RequestOutcomes m_outcomes;
};

} // namespace clementinesill::passthrough
