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

// Creates the balancer role for packets in the given format. The references must outlive the role.
std::unique_ptr<IRoleModule> makePassThroughBalancer(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, MetricsRegistry& metrics);

// Creates the agent role for a server that terminates its flows itself. The references must outlive the role.
std::unique_ptr<IRoleModule> makePassThroughAgent(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, const HeartbeatListenerFactory& makeHeartbeatListener, MetricsRegistry& metrics);

} // namespace clementinesill::passthrough
