#pragma once

#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::dataplane {

// Target and path of a packet. Carried in the packet from the balancer on.
struct Route {
    // Bits of flags.

    // The balancer assigned the packet to a server that accepts new flows, so the server may open the flow.
    static constexpr std::uint8_t opensFlow = 1;
    // The balancer took the server from its flow cache.
    static constexpr std::uint8_t fromCache = 2;
    static constexpr std::uint8_t forwardedByAgent = 4;
    // UDP: the search for the server that holds the flow has ended without a match, so the target may open the flow.
    static constexpr std::uint8_t searchEnded = 8;
    // The visited list is full, so the remaining servers are visited in rank order.
    static constexpr std::uint8_t followsRankOrder = 16;
    // Set with followsRankOrder: the traversal goes by zone before rank. Daemons of earlier versions, which go by rank alone, send
    // no reset at the end of a traversal with this flag.
    static constexpr std::uint8_t zonesFirst = 32;
    // The traversal in rank order reached an agent that no longer has the server that the packet was for, or left out a silent
    // server.
    static constexpr std::uint8_t skippedServer = 64;
    // The packet has waited at an agent for a slot, so it must not wait again: its caller would retransmit it.
    static constexpr std::uint8_t hasWaited = 128;

    // Newest table version among the balancer and the agents that forwarded the packet.
    std::uint64_t tableVersion = 0;
    std::uint32_t serviceId = 0;
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
    // The balancer that received the packet from the fabric.
    Endpoint balancer;
    // Fabric endpoint that delivered the packet; packets to the caller are sent there.
    Endpoint ingress;
    // Number of agents that forwarded the packet.
    std::uint16_t hops = 0;
    std::uint8_t flags = 0;

    bool operator==(const Route&) const = default;
};

} // namespace clementinesill::dataplane
