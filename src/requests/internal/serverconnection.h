#pragma once

#include "foundation/types/endpoint.h"
#include "requests/internal/httprules.h"
#include "requests/types/exchangeid.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <span>

namespace clementinesill::requests {

// Why this side ended an exchange.
enum class AbortReason {
    None,
    Deadline,
    CallerGone,
    CallerBroken,
    // No longer needed.
    Closed,
    AnswerMismatch,
};

// One TCP connection to the backend server; carries one exchange at a time. Errors are returned, not thrown.
class ServerConnection {
public:
    using error_code = boost::system::error_code;

    ServerConnection(ConnectionId id, boost::asio::any_io_executor executor);

    ConnectionId id() const { return m_id; }

    boost::asio::awaitable<error_code> connect(const Endpoint& server);

    // Writes raw bytes of the request: header, or body as it is framed.
    boost::asio::awaitable<error_code> write(std::string_view bytes);

    // Reads the answer's header; interim answers (1xx) are skipped. headRequest: the answer has no body.
    boost::asio::awaitable<error_code> readHeader(bool headRequest, std::uint32_t headerLimit);
    const AnswerHeader& header() const { return m_parser->get(); }

    // Whether the answer ends with the connection, so that its wholeness cannot be told.
    bool endsWithConnection() const { return m_parser->need_eof(); }

    // Reads at least one byte of the answer's body; sets size to 0 at its end.
    boost::asio::awaitable<error_code> readBody(std::span<char> buffer, std::size_t& size);
    bool answerDone() const { return m_parser && m_parser->is_done(); }

    // Whether another exchange may follow: the answer is complete, nothing follows it, and the server keeps alive.
    bool reusable();

    // Closes the connection; pending operations fail. The first reason stays.
    void abort(AbortReason reason);
    AbortReason abortReason() const { return m_abortReason; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    ConnectionId m_id;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    AbortReason m_abortReason = AbortReason::None;
};

} // namespace clementinesill::requests
