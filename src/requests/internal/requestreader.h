#pragma once

#include "requests/internal/callerinput.h"
#include "requests/types/requestproxyoptions.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <span>

namespace clementinesill::requests {

// Result of reading a part of a request.
enum class ReadResult {
    Ok,
    // The connection was closed, or the wait was interrupted or timed out, before the first byte of a request.
    Closed,
    // The caller closed or reset the connection within a request.
    Incomplete,
    TimedOut,
    TooLarge,
    Malformed,
    Interrupted,
};

// Reads one request from a caller: first the whole header, then the body as a stream.
class RequestReader {
public:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    RequestReader(CallerInput& input, const RequestLimits& limits);

    // idleTimeout: maximum wait for the request's first byte.
    boost::asio::awaitable<ReadResult> readHeader(Duration idleTimeout);

    // Reads at least one byte of the body; sets size to 0 at its end.
    boost::asio::awaitable<ReadResult> readBody(std::span<char> buffer, std::size_t& size);

    // Ends the wait for the first byte of a request: readHeader returns Closed.
    void interruptIdle();

    // Ends reading the body: readBody returns Interrupted.
    void interruptBody();

    const Parser::value_type& message() const { return m_parser.get(); }
    bool bodyDone() const { return m_parser.is_done(); }

private:
    boost::asio::awaitable<ReadResult> waitForFirstByte(Duration idleTimeout);

    CallerInput& m_input;
    const RequestLimits& m_limits;
    Parser m_parser;
    bool m_idleInterrupted = false;
    bool m_bodyInterrupted = false;
};

} // namespace clementinesill::requests
