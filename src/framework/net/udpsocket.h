#pragma once

#include "foundation/types/endpoint.h"

#include <chrono>
#include <cstddef>
#include <span>

namespace clementinesill::net {

// Options of a UDP socket.
struct UdpSocketOptions {
    Endpoint endpoint;
    // Allows several sockets to bind the address; the kernel distributes datagrams among them by their source.
    bool reusePort = false;
    // Timeout of a read; 0 waits indefinitely.
    std::chrono::milliseconds receiveTimeout { 0 };
    bool nonBlocking = false;
};

// Opens and binds an IPv4 UDP socket and returns its descriptor, which the calling code must close.
// Throws Error (AddressInUse or Network).
int openUdpSocket(const UdpSocketOptions& options);

// Sends the header and the payload as one datagram without copying them. Returns false if the kernel did not accept it.
bool sendDatagram(int socket, std::span<const std::byte> header, std::span<const std::byte> payload, const Endpoint& target);

} // namespace clementinesill::net
