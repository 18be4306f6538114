#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

// Accepts TCP connections into its backlog and never sends data, like a VM that hangs.
class UnresponsiveListener {
public:
    UnresponsiveListener()
        : m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
    }

    std::string endpoint() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};
