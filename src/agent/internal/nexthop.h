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

// Readdresses the message to the decision's next server: adds this agent to the visited list, increments the hop count,
// raises the table version to that of this agent's table, and lists candidate servers that may be missing from older
// tables.
void addressNextHop(dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const FlowDecision& decision, const ServerIdentity& identity, const fleet::FleetTable& table);

} // namespace clementinesill::agent
