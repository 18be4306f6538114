#pragma once

#include "foundation/types/endpoint.h"

#include <functional>

namespace clementinesill {
class IClock;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::fleet {
class FleetTable;
class ITableSource;
} // namespace clementinesill::fleet

namespace clementinesill::passthrough {

class FlowTracker;
class IPacketFormat;
class LocalServer;
class RelayRouter;
class ServerLoad;
class WaitingOpenings;

// Endpoints and collaborators of a PacketRelay. The references must outlive it.
struct PacketRelayOptions {
    // Receives the packets of other daemons. Packets to a caller are sent to the same port at the caller's address.
    Endpoint daemonEndpoint;
    // Receives the server's packets.
    Endpoint serverPacketEndpoint;
    Endpoint serverEndpoint;
    const IPacketFormat& format;
    RelayRouter& router;
    FlowTracker& flows;
    const ServerLoad& load;
    LocalServer& localServer;
    fleet::ITableSource& tables;
    MetricsRegistry& metrics;
    // Called before the first packet is routed by a newer table.
    std::function<void(const fleet::FleetTable&)> onTableChanged;
    // Called when the leader should confirm the table; PacketRelay::onTableConfirmed() is called in response.
    std::function<void()> requestConfirmation;
    const IClock& clock;
    // The router's waiting SYNs; null if none wait.
    WaitingOpenings* waiting = nullptr;
    // Whether to report busy and full servers to balancers.
    bool sendLoadNotices = false;
};

} // namespace clementinesill::passthrough
