#pragma once

#include "agent/types/tableview.h"
#include "dataplane/internal/flowcache.h"
#include "fleet/fleettable.h"
#include "foundation/seededrandom.h"
#include "passthrough/entryrouter.h"
#include "passthrough/tests/packets.h"
#include "passthrough/tests/restartload.h"
#include "passthrough/tests/routerparts.h"
#include "passthrough/tests/servedrequests.h"
#include "passthrough/types/search.h"
#include "testing/manualclock.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace clementinesill::passthrough {

// Replays the load after a restart of all VMs: callers who got no answer meanwhile come back together with the new ones, on
// servers that are slow at first. The decisions are the product's; callers, links and servers are discrete events.
class RestartModel {
public:
    explicit RestartModel(const RestartLoad& load);

    // Plays the load to its end.
    ServedRequests run();

private:
    struct Request {
        MonotonicTime sent;
        int tries = 0;
        std::uint16_t port = 0;
        bool answered = false;
    };

    // One server with its agent.
    struct Node : RouterParts {
        Node(std::uint32_t id, const ManualClock& clock);

        std::uint32_t id;
        std::uint32_t running = 0;
        std::deque<std::pair<std::size_t, std::uint16_t>> queue;
    };

    void at(MonotonicTime time, std::function<void()> event);
    void scheduleArrivals();
    void attempt(std::size_t request);
    void sendOpening(std::size_t request, std::uint32_t copies, std::uint16_t port);
    void arrive(Search search, std::size_t request, const FlowPacket& packet);
    void start(Node& node, std::size_t request, std::uint16_t port);
    void finish(Node& node, std::size_t request, std::uint16_t port);
    void refused(std::size_t request, std::uint16_t port);
    bool current(std::size_t request, std::uint16_t port) const;
    agent::TableView view() const { return { .table = *m_table, .confirmedAt = {} }; }

    RestartLoad m_load;
    ManualClock m_clock;
    SeededRandom m_random;
    MonotonicTime m_back;
    std::shared_ptr<const fleet::FleetTable> m_table;
    dataplane::FlowCache m_cache { 4096 };
    EntryRouter m_entry { m_cache, "mandaue" };
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::vector<Request> m_requests;
    std::uint16_t m_lastPort = 0;
    ServedRequests m_served;
};

} // namespace clementinesill::passthrough
