#pragma once

#include "passthrough/listeners.h"

#include <memory>

namespace clementinesill {
class IRoleModule;
class MetricsRegistry;
namespace fleet {
class IFleetClient;
}
namespace schema {
class DaemonSettings;
}
} // namespace clementinesill

namespace clementinesill::passthrough {

class IPacketFormat;

// Wires the balancer role for packets in the platform's own format. The references must outlive the role.
std::unique_ptr<IRoleModule> makePassThroughBalancer(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, MetricsRegistry& metrics);

// Wires the agent role beside a server that ends its flows itself. The references must outlive the role.
std::unique_ptr<IRoleModule> makePassThroughAgent(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, const BeatListenerFactory& makeBeatListener, MetricsRegistry& metrics);

} // namespace clementinesill::passthrough
