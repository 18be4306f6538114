#pragma once

#include "agent/types/serverproberesult.h"
#include "foundation/types/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace clementinesill::agent {

// Requests the server's health over HTTP. Takes no longer than the timeout.
boost::asio::awaitable<ServerProbeResult> probeServer(Endpoint endpoint, std::string path, std::chrono::milliseconds timeout);

} // namespace clementinesill::agent
