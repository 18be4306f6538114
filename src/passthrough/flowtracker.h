#pragma once

#include "fleet/types/flowkey.h"
#include "passthrough/serverload.h"
#include "passthrough/types/flowtrackeroptions.h"
#include "passthrough/types/trackedflow.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace clementinesill::passthrough {

struct FlowPacket;

// Tracks the flows of the server on this agent's VM, and its load, by observing the relayed packets. Must only be used on the
// agent's event loop.
class FlowTracker {
public:
    // The load must outlive the tracker.
    FlowTracker(ServerLoad& load, const IClock& clock, const FlowTrackerOptions& options = {});

    const TrackedFlow* find(const fleet::FlowKey& key) const;

    // Adds a new flow; replaces a flow with the same key.
    void open(const FlowPacket& packet);

    // Returns whether the caller's packet belongs to the flow and not to another one with the same addresses and ports.
    bool matches(const TrackedFlow& flow, const FlowPacket& packet) const;

    // Updates the flow from a caller's packet; ignored if the flow is not tracked.
    void recordCallerPacket(const FlowPacket& packet);

    // Updates the flow from a server's packet. Adds the flow if it is not tracked: it was opened before this agent started.
    void recordServerPacket(const FlowPacket& packet);

    void erase(const fleet::FlowKey& key);

    // Removes all flows; called when the server has restarted.
    void clear();

    // Removes flows whose timeout has passed.
    void expire();

    // Stops counting flows as requests in flight whose request has not arrived in time.
    void abandonStalledHandshakes();

    std::size_t size() const { return m_flows.size(); }

private:
    void beginRequest(const fleet::FlowKey& key, TrackedFlow& flow);
    void occupySlot(TrackedFlow& flow);
    void releaseSlot(TrackedFlow& flow);
    enum class RequestEnd {
        Responded,
        // The server closed the flow, or the flow expired.
        NotResponded,
        // The caller closed the flow, the server never had the request, or it has restarted.
        Withdrawn,
    };

    void finishRequest(const fleet::FlowKey& key, TrackedFlow& flow, RequestEnd end);
    bool expired(const TrackedFlow& flow, MonotonicTime now) const;

    ServerLoad& m_load;
    const IClock& m_clock;
    FlowTrackerOptions m_options;
    std::unordered_map<fleet::FlowKey, TrackedFlow> m_flows;
    // Flows whose request had not arrived when they were opened, the oldest first.
    std::deque<std::pair<MonotonicTime, fleet::FlowKey>> m_handshakes;
    // Model of the server's slots: a request that finds them occupied starts when an earlier one ends, in order of arrival.
    std::uint32_t m_occupiedSlots = 0;
    std::deque<fleet::FlowKey> m_queuedRequests;
};

} // namespace clementinesill::passthrough
