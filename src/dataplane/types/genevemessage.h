#pragma once

#include "dataplane/types/candidate.h"
#include "dataplane/types/flowholder.h"
#include "dataplane/types/loadnotice.h"
#include "dataplane/types/route.h"

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <optional>
#include <span>

namespace clementinesill::dataplane {

constexpr std::size_t maximumVisited = 30;
constexpr std::size_t maximumCandidates = 7;

// One Geneve datagram with the options of docs/wire.md. The payload is a view; its bytes must outlive the message.
struct GeneveMessage {
    // Encoded as the virtual network identifier; 24 bits.
    std::uint32_t serviceId = 0;
    // Control message, which carries no packet.
    bool control = false;
    std::optional<Route> route;
    // Ids of the servers that the current search has visited, without the target in the route.
    boost::container::static_vector<std::uint32_t, maximumVisited> visited;
    // For a traversal in rank order: the smallest, over the agents that have forwarded the packet, of the highest server id in
    // their tables. Servers with higher ids may have been skipped.
    std::optional<std::uint32_t> newestKnownServer;
    // In rank order.
    boost::container::static_vector<Candidate, maximumCandidates> candidates;
    std::optional<FlowHolder> holder;
    std::optional<LoadNotice> loadNotice;
    // In a control message to a balancer: the version of the sender's table, which is newer than the one that the balancer used.
    std::optional<std::uint64_t> newerTableVersion;
    // The encapsulated IPv4 packet.
    std::span<const std::byte> payload;
};

} // namespace clementinesill::dataplane
