#pragma once

#include "foundation/types/endpoint.h"

#include <chrono>

namespace clementinesill::net {

// How a UDP socket is opened.
struct UdpSocketOptions {
    Endpoint endpoint;
    // Lets several sockets share the address; the kernel spreads datagrams by their source.
    bool reusePort = false;
    // Longest wait of a read; 0 waits without end.
    std::chrono::milliseconds receiveTimeout { 0 };
    bool nonBlocking = false;
};

// Opens a bound IPv4 UDP socket and returns its descriptor, which the caller closes.
// Throws Error: AddressInUse, or Network.
int openUdpSocket(const UdpSocketOptions& options);

} // namespace clementinesill::net
