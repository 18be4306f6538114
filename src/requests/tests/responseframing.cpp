#include "proxyharness.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

namespace http = boost::beast::http;

enum class ServerEnd {
    EndOfStream,
    Reset,
};

struct Framing {
    std::string_view name;
    std::string_view response;
    // The end of the server's stream ends the response, so that a truncated response cannot be told from a complete one.
    bool endsWithStream;
};

constexpr std::array framings {
    Framing { "length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer", false },
    Framing { "chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n", false },
    Framing { "end of connection", "HTTP/1.1 200 OK\r\n\r\nwhole answer", true },
    Framing { "end of connection, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nwhole answer", true },
};

constexpr std::array<std::string_view, 3> requestTexts {
    "GET /a HTTP/1.1\r\nHost: s\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
    "GET /a HTTP/1.0\r\n\r\n",
};

// Sends the first bytes of a response to every request and ends the connection.
FakeServer::Script sendPart(std::string part, ServerEnd end)
{
    return [part, end](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto received = co_await FakeServer::readRequest(socket, server);
        if (!received)
            co_return;
        co_await FakeServer::write(socket, part);
        if (end == ServerEnd::Reset)
            FakeServer::reset(socket);
    };
}

// Whether a caller that parses the response by its framing takes it for a complete success.
bool isCompleteSuccess(const FakeStream& caller)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(caller.received), error);
    if (!parser.is_done() && caller.endedByProxy && !caller.resetByProxy)
        parser.put_eof(error);
    return parser.is_done() && parser.get().result() == http::status::ok;
}

bool isEnded(const FakeStream& caller)
{
    return isCompleteSuccess(caller) || caller.endedByProxy || caller.aborted || caller.received.find("Clementinesill-Outcome: unknown") != std::string::npos;
}

} // namespace

// clang-format off
TEST_GROUP(ResponseFraming) {};
// clang-format on

// Guards against a truncated response that the caller takes for a complete one, in each framing, for callers of HTTP/1.1 and
// HTTP/1.0, and for a response that is stored under an Idempotency-Key.
TEST(ResponseFraming, TruncatedResponseIsNoCompleteSuccess)
{
    for (const auto& framing : framings) {
        for (const auto request : requestTexts) {
            for (const auto end : { ServerEnd::EndOfStream, ServerEnd::Reset }) {
                if (framing.endsWithStream && end == ServerEnd::EndOfStream)
                    continue;
                for (std::size_t length = 0; length < framing.response.size(); ++length) {
                    ProxyHarness harness(sendPart(std::string(framing.response.substr(0, length)), end));
                    auto& caller = harness.connect();
                    caller.send(request);
                    CHECK_TEXT(harness.runUntil([&] { return isEnded(caller); }), framing.name.data());
                    CHECK_FALSE_TEXT(isCompleteSuccess(caller), framing.name.data());
                }
            }
        }
    }
}

// Guards against an end mark that the server did not send: a response without length or chunks ends with the connection for the
// caller too, so that the caller knows that it may be incomplete.
TEST(ResponseFraming, ResponseThatEndsWithConnectionGetsNoOtherEnd)
{
    for (const auto& framing : framings) {
        if (!framing.endsWithStream)
            continue;
        ProxyHarness harness(sendPart(std::string(framing.response), ServerEnd::EndOfStream));
        auto& caller = harness.connect();
        caller.send(requestTexts[0]);
        CHECK(harness.runUntil([&] { return caller.endedByProxy; }));
        CHECK(isCompleteSuccess(caller));
        CHECK(caller.received.find("Connection: close\r\n") != std::string::npos);
        CHECK(caller.received.find("Content-Length") == std::string::npos);
        CHECK(caller.received.find("Transfer-Encoding") == std::string::npos);
    }
}

// Guards against the replay of a truncated response to a retry with the same Idempotency-Key.
TEST(ResponseFraming, TruncatedResponseIsNotReplayed)
{
    for (const auto& framing : framings) {
        for (const auto end : { ServerEnd::EndOfStream, ServerEnd::Reset }) {
            ProxyHarness harness(sendPart(std::string(framing.response.substr(0, framing.response.size() - 1)), end));
            auto& first = harness.connect();
            first.send(requestTexts[1]);
            CHECK(harness.runUntil([&] { return isEnded(first); }));
            first.reset();
            CHECK(harness.runUntilServed());
            auto& second = harness.connect();
            second.send(requestTexts[1]);
            CHECK(harness.runUntilReceived(second, "409 Conflict"));
            CHECK_EQUAL(1U, harness.server->requests.size());
        }
    }
}
