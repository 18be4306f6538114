#pragma once

#include "foundation/types/endpoint.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace clementinesill::passthrough {

// A server's port for health checks, on its own thread.
class FakeHealthServer {
public:
    explicit FakeHealthServer(const Endpoint& endpoint)
        : m_acceptor(m_context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(endpoint.address), endpoint.port))
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~FakeHealthServer()
    {
        m_context.stop();
        m_thread.join();
    }

    FakeHealthServer(const FakeHealthServer&) = delete;
    FakeHealthServer& operator=(const FakeHealthServer&) = delete;

    // Whether the next requests are answered with 200 instead of 503.
    void setHealthy(bool healthy) { m_healthy = healthy; }

    // Number of requests that were answered; connections without a request do not count.
    int answered() const { return m_answered; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            answer(socket);
            accept();
        });
    }

    void answer(boost::asio::ip::tcp::socket& socket)
    {
        boost::system::error_code error;
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return;
        const std::string response = m_healthy ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(response), error);
        ++m_answered;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_healthy { false };
    std::atomic<int> m_answered { 0 };
    std::thread m_thread;
};

} // namespace clementinesill::passthrough
