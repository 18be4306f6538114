#pragma once

#include "foundation/types/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace clementinesill::net {

// Whether the VM of the endpoint is up but no process accepts TCP connections there. False if a connection is accepted, or if
// there is no response within 200 ms. Blocks until then.
bool refusesConnections(const Endpoint& endpoint);

// Whether a process accepts TCP connections at the endpoint. Empty if there is no response within 200 ms.
boost::asio::awaitable<std::optional<bool>> acceptsConnections(Endpoint endpoint);

} // namespace clementinesill::net
