#include "operators/internal/listenprobe.h"

#include "foundation/types/endpoint.h"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace clementinesill::operators {

ListenProbe::ListenProbe(const SchemaReader& reader)
    : m_reader(reader)
{
}

ListenProbe::~ListenProbe()
{
    for (const int socket : m_sockets)
        close(socket);
}

void ListenProbe::tcp(const std::string& key, const std::string& endpoint)
{
    bindSocket(key, endpoint, SOCK_STREAM);
}

void ListenProbe::udp(const std::string& key, const std::string& endpoint)
{
    bindSocket(key, endpoint, SOCK_DGRAM);
}

void ListenProbe::bindSocket(const std::string& key, const std::string& endpoint, int type)
{
    if (!m_reader.hasKey(key))
        return;
    const auto parsed = parseEndpoint(endpoint);
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    m_sockets.push_back(socket);
    // Allows TCP addresses with connections of an earlier run in TIME_WAIT. For UDP the option would hide a socket that
    // is in use.
    const int reuse = 1;
    if (type == SOCK_STREAM)
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(parsed.address);
    address.sin_port = htons(parsed.port);
    const bool bound = bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    // With SO_REUSEADDR, two TCP sockets can bind the same address until one of them listens.
    if (bound && (type == SOCK_DGRAM || listen(socket, 1) == 0))
        return;
    if (errno == EADDRINUSE)
        m_reader.fail(ConfigFault::AddressInUse, key, "address " + endpoint + " is in use", "stop the program that uses it or write another port");
    m_reader.fail(ConfigFault::BadAddress, key, "address " + endpoint + " cannot be bound (" + std::strerror(errno) + ")", "write an address of this VM");
}

} // namespace clementinesill::operators
