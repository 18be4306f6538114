#pragma once

#include "fleet/types/flowkey.h"
#include "foundation/iclock.h"

#include <chrono>
#include <functional>

namespace clementinesill::passthrough {

class ServerFailures;

struct FlowTrackerOptions {
    // Removes an established flow that has had no packet for this long.
    Duration idleTimeout = std::chrono::seconds(60);
    // Removes a flow whose handshake was not completed. The caller's SYN retransmissions end sooner than this.
    Duration handshakeTimeout = std::chrono::milliseconds(2500);
    // Keeps a closed flow this long for its last packets.
    Duration closedTimeout = std::chrono::seconds(8);
    // A flow whose request has not arrived after this time no longer counts as a request in flight, since its SYN-ACK or its
    // request was lost or the caller has given up; 0: it counts until the flow is removed.
    Duration requestTimeout { 0 };
    // If set, records which requests end without a response.
    ServerFailures* failures = nullptr;
    // If set, called with the time since the request when the first byte of its response is seen.
    std::function<void(const fleet::FlowKey&, Duration)> responseStarted;
};

} // namespace clementinesill::passthrough
