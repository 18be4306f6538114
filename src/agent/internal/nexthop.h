#pragma once

#include <cstdint>

namespace clementinesill::dataplane {
struct GeneveMessage;
struct PacketView;
} // namespace clementinesill::dataplane

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::agent {

struct FlowDecision;
struct ServerIdentity;

// Addresses the message to the server the decision names: adds the deciding agent to the visited list, counts the hop,
// raises the table version to the agent's own, and names servers that agents with older tables may not know.
void addressNextHop(dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const FlowDecision& decision, const ServerIdentity& identity, const fleet::FleetTable& table);

} // namespace clementinesill::agent
