#pragma once

#include "foundation/metrics.h"
#include "passthrough/admissionwatch.h"
#include "passthrough/endedsearches.h"
#include "passthrough/internal/packetsocket.h"
#include "passthrough/internal/relaypathoptions.h"
#include "passthrough/pendingsearches.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/relayinputs.h"

#include <array>

namespace clementinesill {
class Histogram;
}

namespace clementinesill::agent {
struct TableView;
}

namespace clementinesill::passthrough {

// Carries packets between daemons, the server beside this agent and callers, as the router decides.
class RelayPath {
public:
    // Binds the sockets. Throws Error (AddressInUse or Network).
    RelayPath(boost::asio::io_context& loop, const RelayPathOptions& options);

    // Starts to read both sockets.
    void start();

    // The leader was asked: searches that have ended are looked at again.
    void confirmed();

    // Tells the balancers and agents where flows are by this name.
    void setServer(std::uint32_t serverId, std::uint32_t incarnation);

private:
    void onDaemonPacket(std::span<std::byte> datagram);
    void onServerPacket(std::span<std::byte> datagram);
    void onHandedBack(std::span<std::byte> datagram, const FlowPacket& packet);
    void carryOut(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::span<std::byte> bytes);
    void deliver(const FlowPacket& packet, std::span<std::byte> bytes, std::uint32_t mark);
    agent::TableView view(const fleet::FleetTable& table) const;
    void passOn(const RelayDecision& decision, Search search, std::span<const std::byte> bytes);
    void tellBalancer(const Search& search, const fleet::FlowKey& key);
    void note(const RelayDecision& decision, const Search& search, const FlowPacket& packet);
    RelayInputs inputs(const FlowPacket& packet) const;
    void toCaller(const fleet::FlowKey& flow, std::span<const std::byte> bytes);

    boost::asio::io_context& m_loop;
    RelayPathOptions m_options;
    PacketSocket m_packets;
    PacketSocket m_serverPackets;
    PendingSearches m_pending;
    EndedSearches m_ended;
    std::uint32_t m_serverId = 0;
    std::uint32_t m_incarnation = 0;
    std::uint64_t m_seenVersion = 0;
    AdmissionWatch m_admission;
    // By RelayReason.
    std::array<Counter*, relayReasons> m_decisions {};
    Histogram& m_openingWait;
};

} // namespace clementinesill::passthrough
