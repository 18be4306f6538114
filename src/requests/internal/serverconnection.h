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

// Why the proxy ended an exchange.
enum class AbortReason {
    None,
    Deadline,
    CallerDisconnected,
    // The caller's request body is incomplete, malformed or stalled.
    RequestBodyError,
    // The connection is no longer needed.
    Closed,
    // The response echoes another request, or the connection carries none.
    ResponseMismatch,
};

// TCP connection to the backend server that carries one exchange at a time. Returns errors instead of throwing.
class ServerConnection {
public:
    using error_code = boost::system::error_code;

    ServerConnection(ConnectionId id, boost::asio::any_io_executor executor);

    ConnectionId id() const { return m_id; }

    boost::asio::awaitable<error_code> connect(const Endpoint& server);

    // Writes raw bytes of the request: the header, or body data including its framing.
    boost::asio::awaitable<error_code> write(std::string_view bytes);

    // Reads the response's header; skips interim responses (1xx). headRequest: the response has no body.
    boost::asio::awaitable<error_code> readHeader(bool headRequest, std::uint32_t headerLimit);
    const ResponseHeader& header() const { return m_parser->get(); }

    // Whether the response ends when the connection is closed, so that a truncation cannot be detected.
    bool endsWithConnection() const { return m_parser->need_eof(); }

    // Reads at least one byte of the response's body; sets size to 0 at its end.
    boost::asio::awaitable<error_code> readBody(std::span<char> buffer, std::size_t& size);
    bool responseDone() const { return m_parser && m_parser->is_done(); }

    // Whether another exchange may follow: the response is complete, no bytes follow it, the server keeps the connection
    // alive, and it names the exchange in its responses. Without the name, a late copy of a response could not be told from
    // the response to the next request.
    bool isReusable();

    // Closes the connection; pending operations fail. Only the first call's reason is kept.
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
