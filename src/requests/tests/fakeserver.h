#pragma once

#include "requests/internal/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace clementinesill::requests {

// Backend server on loopback that runs a script for each connection.
class FakeServer {
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Script = std::function<boost::asio::awaitable<void>(Socket&, FakeServer&)>;

    FakeServer(boost::asio::io_context& context, Script script)
        : m_acceptor(context)
        , m_script(std::move(script))
    {
        listenOnFreePort();
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    // Stops accepting connections; running scripts continue.
    void stop()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    // Reads and records a request with bodyBytes of body; returns false at end of stream.
    static boost::asio::awaitable<bool> readRequest(Socket& socket, FakeServer& server, std::size_t bodyBytes = 0)
    {
        std::string request;
        char byte = 0;
        while (!request.ends_with("\r\n\r\n")) {
            const auto received = co_await readByte(socket, byte);
            if (!received)
                co_return false;
            request += byte;
        }
        for (std::size_t index = 0; index < bodyBytes; ++index) {
            const auto received = co_await readByte(socket, byte);
            if (!received)
                co_return false;
            request += byte;
        }
        server.requests.push_back(request);
        co_return true;
    }

    static boost::asio::awaitable<bool> readByte(Socket& socket, char& byte)
    {
        const auto [error, size] = co_await socket.async_read_some(boost::asio::buffer(&byte, 1), boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return !error && size == 1;
    }

    static boost::asio::awaitable<void> write(Socket& socket, std::string bytes)
    {
        co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    // The field by which a server's response names the exchange of the request.
    static std::string echoField(std::string_view request)
    {
        constexpr std::string_view field = "Clementinesill-Exchange: ";
        const auto start = request.find(field);
        const auto end = request.find("\r\n", start);
        return std::string(request.substr(start, end - start)) + "\r\n";
    }

    // Resets the connection.
    static void reset(Socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::vector<std::string> requests;
    int connections = 0;
    // Set by a script that waits until the test notifies it.
    std::unique_ptr<Signal> resumeSignal;

private:
    static constexpr std::uint16_t firstPort = 22100;
    static constexpr std::uint16_t lastPort = 22899;

    // Test programs that run concurrently share the port range.
    void listenOnFreePort()
    {
        boost::system::error_code error = boost::asio::error::address_in_use;
        for (auto port = firstPort; error && port <= lastPort; ++port) {
            m_acceptor = boost::asio::ip::tcp::acceptor(m_acceptor.get_executor(), boost::asio::ip::tcp::v4());
            m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
            m_acceptor.bind({ boost::asio::ip::make_address_v4("127.0.0.1"), port }, error);
            if (!error)
                m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
        if (error)
            throw boost::system::system_error(error);
    }

    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error)
                co_return;
            ++connections;
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Socket socket) { co_await m_script(socket, *this); }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
};

} // namespace clementinesill::requests
