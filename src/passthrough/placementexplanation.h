#pragma once

#include <string>

namespace clementinesill {
struct Endpoint;
namespace fleet {
class FleetTable;
}
namespace schema {
class PlacementList;
}
} // namespace clementinesill

namespace clementinesill::passthrough {

class ServerLoadView;

// Where a balancer in the zone would send a new flow of the route at the address now: one record for each service that the
// route has, with the servers in the order in which EntryRouter considers them. Without a view, as for a router without one.
schema::PlacementList explainPlacement(const Endpoint& address, const fleet::FleetTable& table, const std::string& zone, const ServerLoadView* loadView);

} // namespace clementinesill::passthrough
