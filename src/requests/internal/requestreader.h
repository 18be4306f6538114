#pragma once

#include "requests/internal/callerinput.h"
#include "requests/types/requestgateoptions.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <span>

namespace clementinesill::requests {

// How reading a part of a request ended.
enum class ReadEnd {
    Ok,
    // The caller ended the connection between two requests.
    Closed,
    // The caller's end or reset within a request.
    Incomplete,
    TimedOut,
    TooLarge,
    Malformed,
    Interrupted,
};

// Reads one request of a caller: its header at once, its body piece by piece.
class RequestReader {
public:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    RequestReader(CallerInput& input, const RequestLimits& limits);

    // idleTimeout: wait for the request's first byte.
    boost::asio::awaitable<ReadEnd> readHeader(Duration idleTimeout);

    // Reads at least one byte of the body; sets size to 0 at its end.
    boost::asio::awaitable<ReadEnd> readBody(std::span<char> buffer, std::size_t& size);

    // Ends the wait for a request that has not begun: readHeader returns Closed.
    void interruptIdle();

    // Ends reading the body: readBody returns Interrupted.
    void interruptBody();

    const Parser::value_type& message() const { return m_parser.get(); }
    bool bodyDone() const { return m_parser.is_done(); }

private:
    boost::asio::awaitable<ReadEnd> waitForFirstByte(Duration idleTimeout);

    CallerInput& m_input;
    const RequestLimits& m_limits;
    Parser m_parser;
    bool m_idleInterrupted = false;
    bool m_bodyInterrupted = false;
};

} // namespace clementinesill::requests
