#pragma once

namespace clementinesill {
struct Endpoint;
}

namespace clementinesill::net {

// Whether the VM of the endpoint is up but no process accepts TCP connections there. False if a connection is accepted, or if
// there is no response within 200 ms. Blocks until then.
bool refusesConnections(const Endpoint& endpoint);

} // namespace clementinesill::net
