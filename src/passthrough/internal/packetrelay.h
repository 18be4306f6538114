#pragma once

#include "foundation/metrics.h"
#include "passthrough/admissionmonitor.h"
#include "passthrough/internal/packetrelayoptions.h"
#include "passthrough/internal/packetsocket.h"
#include "passthrough/internal/routehistograms.h"
#include "passthrough/pendingsearches.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/relaydecisioncontext.h"
#include "passthrough/unconfirmedsearches.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <optional>

namespace clementinesill {
class Histogram;
}

namespace clementinesill::agent {
struct TableView;
}

namespace clementinesill::passthrough {

// Relays packets between daemons, the server on this agent's VM and callers, as decided by the router.
class PacketRelay {
public:
    // Binds the sockets. Throws Error (AddressInUse or Network).
    PacketRelay(boost::asio::io_context& loop, const PacketRelayOptions& options);

    // Starts reading from both sockets.
    void start();

    // Called when the leader has confirmed the table: decides again about packets whose searches found no holder.
    void onTableConfirmed();

    // Sets the server identity that notifications to balancers and the visited lists of packets carry.
    void setServer(std::uint32_t serverId, std::uint32_t incarnation);

    // Delivers, forwards or resets the SYNs that no longer wait. Called when the state of the server or the table has changed;
    // packets and the end of a wait lead to it without a call.
    void releaseWaiting();

private:
    void onDaemonPacket(std::span<std::byte> datagram);
    void onServerPacket(std::span<std::byte> datagram);
    void onBouncedPacket(std::span<std::byte> datagram, const FlowPacket& packet);
    void applyDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::span<std::byte> bytes);
    void deliverToServer(const FlowPacket& packet, std::span<std::byte> bytes, std::uint32_t mark);
    agent::TableView view(const fleet::FleetTable& table) const;
    void forwardToAgent(const RelayDecision& decision, Search search, std::span<const std::byte> bytes);
    void releaseIfDue();
    void scheduleNextExpiry();
    void reportLoad(const RelayDecision& decision, const Search& search, const FlowPacket& packet);
    void reportNewerTable(const Search& search);
    void notifyBalancer(const Search& search, const fleet::FlowKey& key);
    // Completes the control message and sends it to the balancer that placed the packet; false if there is none.
    bool sendToBalancer(const Search& search, dataplane::GeneveMessage& message);
    void recordDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet);
    RelayDecisionContext decisionContext(const FlowPacket& packet) const;
    void sendToCaller(const fleet::FlowKey& flow, std::span<const std::byte> bytes);

    boost::asio::io_context& m_loop;
    PacketRelayOptions m_options;
    PacketSocket m_daemonSocket;
    PacketSocket m_serverSocket;
    PendingSearches m_pending;
    UnconfirmedSearches m_unconfirmed;
    std::uint32_t m_serverId = 0;
    std::uint32_t m_incarnation = 0;
    std::uint64_t m_tableVersion = 0;
    AdmissionMonitor m_admissionMonitor;
    // Indexed by RelayReason.
    std::array<Counter*, relayReasonCount> m_decisionCounters {};
    Histogram& m_callerWaitTime;
    // Runs only while a SYN waits.
    boost::asio::steady_timer m_waitTimer;
    std::optional<MonotonicTime> m_timerExpiry;
    RouteHistograms m_holdTimes;
    Counter& m_loadNotices;
    // Version of the configuration, and of the first table that was seen with it.
    std::optional<std::uint64_t> m_documentVersion;
    std::uint64_t m_documentSince = 0;
    Counter& m_tableNotices;
};

} // namespace clementinesill::passthrough
