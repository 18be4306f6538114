#include "requests/internal/serverconnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace clementinesill::requests {

namespace http = boost::beast::http;

namespace {
constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
}

ServerConnection::ServerConnection(ConnectionId id, boost::asio::any_io_executor executor)
    : m_id(id)
    , m_socket(executor)
{
}

boost::asio::awaitable<ServerConnection::error_code> ServerConnection::connect(const Endpoint& server)
{
    if (m_abortReason != AbortReason::None)
        co_return boost::asio::error::operation_aborted;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4(server.address), server.port);
    auto [error] = co_await m_socket.async_connect(endpoint, asTuple);
    if (!error)
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    co_return error;
}

boost::asio::awaitable<ServerConnection::error_code> ServerConnection::write(std::string_view bytes)
{
    const auto [error, size] = co_await boost::asio::async_write(m_socket, boost::asio::buffer(bytes), asTuple);
    co_return error;
}

boost::asio::awaitable<ServerConnection::error_code> ServerConnection::readHeader(bool headRequest, std::uint32_t headerLimit)
{
    while (true) {
        m_parser.emplace();
        m_parser->header_limit(headerLimit);
        m_parser->body_limit(boost::none);
        m_parser->skip(headRequest);
        const auto [error, size] = co_await http::async_read_header(m_socket, m_buffer, *m_parser, asTuple);
        if (error)
            co_return error;
        const auto status = m_parser->get().result_int();
        if (status == static_cast<unsigned>(http::status::switching_protocols))
            co_return http::make_error_code(http::error::bad_status);
        if (http::to_status_class(status) != http::status_class::informational)
            co_return error_code();
    }
}

boost::asio::awaitable<ServerConnection::error_code> ServerConnection::readBody(std::span<char> buffer, std::size_t& size)
{
    size = 0;
    while (!m_parser->is_done()) {
        auto& body = m_parser->get().body();
        body.data = buffer.data();
        body.size = buffer.size();
        const auto [error, used] = co_await http::async_read_some(m_socket, m_buffer, *m_parser, asTuple);
        size = buffer.size() - body.size;
        if (error && error != http::error::need_buffer)
            co_return error;
        if (size > 0)
            break;
    }
    co_return error_code();
}

bool ServerConnection::isReusable()
{
    if (m_abortReason != AbortReason::None || !responseDone() || !m_parser->get().keep_alive() || m_buffer.size() > 0)
        return false;
    if (fieldValue(header(), exchangeField).empty())
        return false;
    // Received bytes or an end of stream at this point belong to no request.
    error_code error;
    char byte = 0;
    m_socket.non_blocking(true, error);
    if (error)
        return false;
    m_socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

void ServerConnection::abort(AbortReason reason)
{
    if (m_abortReason != AbortReason::None)
        return;
    m_abortReason = reason;
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace clementinesill::requests
