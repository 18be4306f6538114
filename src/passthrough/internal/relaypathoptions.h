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

class HeldFlows;
class IPacketFormat;
class LocalServer;
class RelayRouter;
class ServerLoad;

// What the relay path works with. The references must outlive it.
struct RelayPathOptions {
    // Where daemons' packets arrive; callers are answered at its port.
    Endpoint packets;
    // Where the server's packets arrive.
    Endpoint serverPackets;
    Endpoint server;
    const IPacketFormat& format;
    RelayRouter& router;
    HeldFlows& flows;
    const ServerLoad& load;
    LocalServer& localServer;
    fleet::ITableSource& tables;
    MetricsRegistry& metrics;
    // Called before the first packet that a newer table decides.
    std::function<void(const fleet::FleetTable&)> tableSeen;
    // Called when the leader's word on the table is wanted; answered by confirmed().
    std::function<void()> wantConfirmation;
    const IClock& clock;
};

} // namespace clementinesill::passthrough
