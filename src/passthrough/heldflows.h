#pragma once

#include "fleet/types/flowkey.h"
#include "passthrough/serverload.h"
#include "passthrough/types/heldflow.h"
#include "passthrough/types/heldflowsoptions.h"

#include <cstddef>
#include <unordered_map>

namespace clementinesill::passthrough {

struct FlowPacket;

// The flows of the server beside this agent, and the work that it has because of them. What is learnt from passing packets
// is enough; nothing is asked of the server. Confined to the agent's loop.
class HeldFlows {
public:
    // The load must outlive the flows.
    HeldFlows(ServerLoad& load, const IClock& clock, const HeldFlowsOptions& options = {});

    const HeldFlow* find(const fleet::FlowKey& key) const;

    // Takes a new flow; one of the same key is replaced.
    void open(const FlowPacket& packet);

    // Whether the caller's packet belongs to the flow rather than to another one of the same addresses and ports.
    bool owns(const HeldFlow& flow, const FlowPacket& packet) const;

    // Notes a packet that the caller sent on a held flow.
    void noteCaller(const FlowPacket& packet);

    // Notes a packet that the server sent; takes the flow on if it is older than this agent.
    void noteServer(const FlowPacket& packet);

    void erase(const fleet::FlowKey& key);

    // The server was started anew: it holds nothing of before.
    void clear();

    // Forgets flows whose time is over.
    void expire();

    std::size_t size() const { return m_flows.size(); }

private:
    void finishRequest(HeldFlow& flow, bool answered);
    bool expired(const HeldFlow& flow, MonotonicTime now) const;

    ServerLoad& m_load;
    const IClock& m_clock;
    HeldFlowsOptions m_options;
    std::unordered_map<fleet::FlowKey, HeldFlow> m_flows;
};

} // namespace clementinesill::passthrough
