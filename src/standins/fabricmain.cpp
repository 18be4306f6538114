// Stand-in for the fabric: terminates the kernel TCP connections of real clients, opens a user-space TCP connection for each,
// and sends every packet of it to a randomly chosen balancer.

#include "dataplane/genevecodec.h"
#include "dataplane/types/genevemessage.h"
#include "foundation/error.h"
#include "foundation/seededrandom.h"
#include "net/relay.h"
#include "net/socketstream.h"
#include "net/udpsocket.h"
#include "tcpstack/ipacketsink.h"
#include "tcpstack/itcpconnection.h"
#include "tcpstack/itcpstack.h"
#include "tcpstack/lwipstack.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace clementinesill;
namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumDatagramBytes = 9216;

// Sends each packet to a randomly chosen balancer and receives the agents' packets.
class Fabric final : public tcpstack::IPacketSink {
public:
    Fabric(asio::io_context& loop, const Endpoint& endpoint, std::vector<Endpoint> balancers, std::uint64_t seed)
        : m_socket(loop, net::openUdpSocket({ .endpoint = endpoint, .nonBlocking = true }))
        , m_balancers(std::move(balancers))
        , m_random(seed)
        , m_buffer(maximumDatagramBytes)
    {
        const int on = 1;
        setsockopt(m_socket.native_handle(), IPPROTO_IP, IP_RECVERR, &on, sizeof(on));
    }

    void sendPacket(std::span<const std::byte> packet) override
    {
        std::array<std::byte, dataplane::maximumGeneveHeaderBytes> header;
        const auto headerBytes = dataplane::encodeGeneveHeader({}, header);
        net::sendDatagram(m_socket.native_handle(), std::span(header).first(headerBytes), packet, chooseBalancer());
    }

    asio::awaitable<void> run(tcpstack::ITcpStack& stack)
    {
        while (true) {
            co_await m_socket.async_wait(asio::posix::stream_descriptor::wait_read, asio::use_awaitable);
            readErrors();
            const auto length = recv(m_socket.native_handle(), m_buffer.data(), m_buffer.size(), 0);
            dataplane::GeneveMessage message;
            if (length > 0 && dataplane::decodeGeneve(std::span(m_buffer).first(static_cast<std::size_t>(length)), message) == dataplane::PacketError::None)
                stack.input(message.payload);
        }
    }

private:
    // A balancer that refused a packet is skipped for this time, as by a fabric's health check.
    static constexpr std::chrono::seconds refusedPause { 1 };

    Endpoint chooseBalancer()
    {
        readErrors();
        const auto now = std::chrono::steady_clock::now();
        std::vector<Endpoint> usable;
        for (const auto& balancer : m_balancers) {
            const auto refusedAt = m_refusedAt.find(balancer);
            if (refusedAt == m_refusedAt.end() || now - refusedAt->second >= refusedPause)
                usable.push_back(balancer);
        }
        const auto& candidates = usable.empty() ? m_balancers : usable;
        return candidates[m_random.below(candidates.size())];
    }

    // Reads the socket's error queue, where the kernel puts ICMP errors with the destination of the refused datagram.
    void readErrors()
    {
        sockaddr_in target {};
        msghdr error {};
        error.msg_name = &target;
        error.msg_namelen = sizeof(target);
        while (recvmsg(m_socket.native_handle(), &error, MSG_ERRQUEUE) >= 0) {
            m_refusedAt[{ .address = ntohl(target.sin_addr.s_addr), .port = ntohs(target.sin_port) }] = std::chrono::steady_clock::now();
            error.msg_namelen = sizeof(target);
        }
    }

    asio::posix::stream_descriptor m_socket;
    std::vector<Endpoint> m_balancers;
    std::map<Endpoint, std::chrono::steady_clock::time_point> m_refusedAt;
    SeededRandom m_random;
    std::vector<std::byte> m_buffer;
};

asio::awaitable<void> relayClient(asio::ip::tcp::socket socket, tcpstack::ITcpStack& stack, Endpoint service)
{
    net::SocketStream client(std::move(socket));
    try {
        const auto connection = co_await stack.connect(service);
        co_await net::relay(client, *connection);
        connection->close();
    } catch (const Error& error) {
        std::cerr << "fabric: " << error.what() << '\n';
        client.abort();
    }
}

// Address where real clients connect, and address of the service in their packets. The two differ because lwIP loops packets
// to 127.0.0.0/8 back to itself.
struct Mapping {
    Endpoint listen;
    Endpoint service;
};

asio::awaitable<void> acceptClients(asio::io_context& loop, tcpstack::ITcpStack& stack, Mapping mapping)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(mapping.listen.address), mapping.listen.port);
    asio::ip::tcp::acceptor acceptor(loop, endpoint);
    while (true) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(loop, relayClient(std::move(socket), stack, mapping.service), asio::detached);
    }
}

std::vector<Endpoint> parseEndpoints(const std::vector<std::string>& texts)
{
    std::vector<Endpoint> result;
    for (const auto& text : texts)
        result.push_back(parseEndpoint(text));
    return result;
}

// Parses "LISTEN=SERVICE", each ADDRESS:PORT.
Mapping parseMapping(const std::string& text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos)
        throw Error(ErrorKind::InvalidArgument, "'" + text + "' has no service address", "write LISTEN=SERVICE, each ADDRESS:PORT");
    return { .listen = parseEndpoint(text.substr(0, equals)), .service = parseEndpoint(text.substr(equals + 1)) };
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_fabric", "Distributes the packets of real clients over the balancers.");
    options.add_options()("endpoint", "UDP address for packets from agents", cxxopts::value<std::string>())("balancer", "data endpoint of a balancer", cxxopts::value<std::vector<std::string>>())("service", "LISTEN=SERVICE: where clients connect, and the address inside the packets", cxxopts::value<std::vector<std::string>>())("caller", "caller address inside the packets", cxxopts::value<std::string>()->default_value("203.0.113.1"))("seed", "seed of the random choice of balancers", cxxopts::value<std::uint64_t>()->default_value("1"));
    try {
        const auto arguments = options.parse(argc, argv);
        asio::io_context loop(1);
        Fabric fabric(loop, parseEndpoint(arguments["endpoint"].as<std::string>()), parseEndpoints(arguments["balancer"].as<std::vector<std::string>>()), arguments["seed"].as<std::uint64_t>());
        const auto stack = tcpstack::makeLwipStack(parseAddress(arguments["caller"].as<std::string>()), loop, fabric);
        asio::co_spawn(loop, fabric.run(*stack), asio::detached);
        for (const auto& text : arguments["service"].as<std::vector<std::string>>())
            asio::co_spawn(loop, acceptClients(loop, *stack, parseMapping(text)), [](std::exception_ptr failure) { if (failure) std::rethrow_exception(failure); });
        asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([&](const auto&, int) { std::quick_exit(0); });
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << "standin_fabric: " << error.what() << '\n';
        return 1;
    }
}
