#pragma once

#include "foundation/types/endpoint.h"

#include <chrono>
#include <cstddef>
#include <span>

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

// Sends one datagram made of two parts, without copying them; false if the kernel did not take it.
bool sendDatagram(int socket, std::span<const std::byte> header, std::span<const std::byte> payload, const Endpoint& target);

} // namespace clementinesill::net
