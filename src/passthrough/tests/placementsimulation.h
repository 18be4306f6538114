#pragma once

#include "admission/admissionqueue.h"
#include "dataplane/internal/flowcache.h"
#include "fleet/fleettable.h"
#include "foundation/seededrandom.h"
#include "passthrough/entryrouter.h"
#include "passthrough/serverloadview.h"
#include "passthrough/tests/placementoutcomes.h"
#include "passthrough/tests/placementscenario.h"
#include "passthrough/types/flowpacket.h"
#include "testing/manualclock.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinesill::passthrough {

// Discrete-event simulation of several balancers and agents under a burst. The balancers' EntryRouter, ServerLoadView and the
// agents' AdmissionQueue are real; the agents' search for room, the notices and the servers follow docs/hard-load.md.
class PlacementSimulation {
public:
    explicit PlacementSimulation(const PlacementScenario& scenario);

    PlacementOutcomes run();

private:
    struct Request {
        MonotonicTime sentAt;
        std::size_t kind = 0;
        std::size_t balancer = 0;
        bool shifted = false;
        int attempts = 0;
        // The last attempt that was opened or reset.
        int answeredAttempt = 0;
    };

    // A SYN on its way through the agents.
    struct Opening {
        std::size_t request = 0;
        int attempt = 0;
        FlowPacket packet;
        std::vector<std::uint32_t> visited;
    };

    struct Balancer {
        Balancer(const ManualClock& clock, const std::string& zone, bool placesByLoad);

        dataplane::FlowCache cache { 4096 };
        ServerLoadView view;
        EntryRouter router;
    };

    // One server with its agent.
    struct Node {
        Node(std::uint32_t id, const ManualClock& clock);

        std::uint32_t id;
        std::uint32_t inFlight = 0;
        std::uint32_t running = 0;
        // Requests at the server that wait for a slot.
        std::deque<std::size_t> backlog;
        admission::AdmissionQueue queue;
        std::map<std::uint64_t, Opening> waiting;
    };

    void schedule(Duration delay, std::function<void()> event);
    void scheduleArrivals();
    void startAttempt(std::size_t request);
    void sendSyn(const Opening& opening, std::uint32_t retransmissions);
    void place(const Opening& opening);
    void arrive(Node& node, Opening opening);
    bool wait(Node& node, const Opening& opening);
    bool passOn(Node& node, const Opening& opening);
    void deliver(Node& node, const Opening& opening);
    void startRequest(Node& node, std::size_t request);
    void finishRequest(Node& node, std::size_t request);
    void admitWaiting(Node& node);
    void rejectWaiting(Node& node, const std::vector<std::uint64_t>& ids);
    void reject(std::size_t request, Duration delay);
    void notify(std::size_t request, const dataplane::LoadNotice& notice);
    double uniform();
    template <typename Count>
    void count(const Request& request, Count&& increment);

    PlacementScenario m_scenario;
    ManualClock m_clock;
    SeededRandom m_random;
    MonotonicTime m_burstStart;
    MonotonicTime m_burstEnd;
    std::shared_ptr<const fleet::FleetTable> m_table;
    std::vector<std::unique_ptr<Balancer>> m_balancers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::vector<Request> m_requests;
    std::uint32_t m_attempts = 0;
    Duration m_servedWork { 0 };
    PlacementOutcomes m_outcomes;
};

} // namespace clementinesill::passthrough
