#include "requests/irequestproxy.h"

#include "proxyharness.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

constexpr std::string_view simpleGet = "GET /a HTTP/1.1\r\nHost: s\r\n\r\n";

// Responds to every request with the number of requests received, and names the exchange.
boost::asio::awaitable<void> respondToAll(FakeServer::Socket& socket, FakeServer& server)
{
    while (true) {
        const auto received = co_await FakeServer::readRequest(socket, server);
        if (!received)
            co_return;
        const auto body = "answer " + std::to_string(server.requests.size());
        const auto response = "HTTP/1.1 200 OK\r\n" + FakeServer::echoField(server.requests.back()) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await FakeServer::write(socket, response);
    }
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace

// clang-format off
TEST_GROUP(RequestProxy) {};
// clang-format on

TEST(RequestProxy, ServesRequestsOfConnectionInOrder)
{
    ProxyHarness harness(respondToAll);
    auto& caller = harness.connect();
    caller.send(simpleGet);
    CHECK(harness.runUntilReceived(caller, "answer 1"));
    caller.send(std::string(simpleGet) + std::string(simpleGet));
    CHECK(harness.runUntilReceived(caller, "answer 3"));
    CHECK(contains(harness.server->requests[0], "X-Forwarded-For: 10.0.0.1\r\n"));
    CHECK(contains(harness.server->requests[0], "Request-Timeout-Ms: "));
    CHECK_EQUAL(1, harness.server->connections);
    CHECK_EQUAL(0U, harness.admission.load().requests);
}

TEST(RequestProxy, StreamsOpenEndedResponse)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server);
        co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
        char byte = 0;
        co_await FakeServer::readByte(socket, byte);
    });
    auto& caller = harness.connect();
    caller.send(simpleGet);
    CHECK(harness.runUntilReceived(caller, "first"));
    // A streaming response frees its admission slot while it stays open.
    CHECK_EQUAL(0U, harness.admission.load().requests);
    caller.sendEnd();
    CHECK(harness.runUntilServed());
}

TEST(RequestProxy, StreamsRequestBody)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server, 10);
        co_await FakeServer::write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    });
    auto& caller = harness.connect();
    caller.send("POST /order HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\n01234");
    CHECK(harness.runUntil([&] { return harness.server->connections == 1; }));
    caller.send("56789");
    CHECK(harness.runUntilReceived(caller, "201 Created"));
    CHECK(harness.server->requests[0].ends_with("0123456789"));
}

TEST(RequestProxy, ReportsNotRunWhenServerIsDown)
{
    ProxyHarness harness(respondToAll);
    harness.server->stop();
    auto& caller = harness.connect();
    caller.send(simpleGet);
    CHECK(harness.runUntilReceived(caller, "503 Service Unavailable"));
    CHECK(contains(caller.received, "Clementinesill-Outcome: not-run"));
    CHECK(contains(caller.received, "Retry-After: 1"));
}

TEST(RequestProxy, DrainClosesIdleConnectionAndCompletesRequest)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server);
        server.resumeSignal = std::make_unique<Signal>(socket.get_executor());
        co_await server.resumeSignal->wait();
        co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    },
        { .drainGracePeriod = std::chrono::milliseconds(1), .limits = { .headerTimeout = std::chrono::minutes(10) } });
    auto& idle = harness.connect();
    auto& busy = harness.connect();
    busy.send(simpleGet);
    CHECK(harness.runUntil([&] { return harness.server->resumeSignal != nullptr; }));
    harness.proxy->drain();
    CHECK(harness.runUntil([&] { return idle.endedByProxy; }));
    CHECK_FALSE(busy.endedByProxy);
    harness.server->resumeSignal->notify();
    CHECK(harness.runUntilReceived(busy, "whole"));
    CHECK(contains(busy.received, "Connection: close"));
    CHECK(harness.runUntilServed());
}

// Guards against a request that is cut off by a stop although its connection was announced as kept: the response before it was
// started, without Connection: close, before the drain.
TEST(RequestProxy, DrainServesRequestOnConnectionAnnouncedAsKept)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server);
        if (server.requests.size() > 1) {
            co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
            co_return;
        }
        co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfir");
        server.resumeSignal = std::make_unique<Signal>(socket.get_executor());
        co_await server.resumeSignal->wait();
        co_await FakeServer::write(socket, "st");
    },
        { .drainGracePeriod = std::chrono::milliseconds(100) });
    // The second request arrives before, or shortly after, the end of the first response.
    for (const bool early : { true, false }) {
        harness.proxy->resume();
        harness.server->requests.clear();
        harness.server->resumeSignal.reset();
        auto& caller = harness.connect();
        caller.send(simpleGet);
        CHECK(harness.runUntilReceived(caller, "fir"));
        CHECK_FALSE(contains(caller.received, "Connection: close"));
        harness.proxy->drain();
        if (early)
            caller.send(simpleGet);
        CHECK(harness.runUntil([&] { return harness.server->resumeSignal != nullptr; }));
        harness.server->resumeSignal->notify();
        CHECK(harness.runUntilReceived(caller, "first"));
        if (!early)
            caller.send(simpleGet);
        CHECK(harness.runUntil([&] { return contains(caller.received, "second") || caller.endedByProxy || caller.aborted; }));
        CHECK(contains(caller.received, "second"));
        CHECK(contains(caller.received, "Connection: close"));
    }
    CHECK(harness.runUntilServed());
}

// Guards against a connection announced as kept that delays a stop beyond the grace period.
TEST(RequestProxy, DrainClosesConnectionAnnouncedAsKeptAfterGracePeriod)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server);
        co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfir");
        server.resumeSignal = std::make_unique<Signal>(socket.get_executor());
        co_await server.resumeSignal->wait();
        co_await FakeServer::write(socket, "st");
    },
        { .drainGracePeriod = std::chrono::milliseconds(1), .limits = { .keepAliveTimeout = std::chrono::minutes(10) } });
    auto& caller = harness.connect();
    caller.send(simpleGet);
    CHECK(harness.runUntilReceived(caller, "fir"));
    harness.proxy->drain();
    CHECK(harness.runUntil([&] { return harness.server->resumeSignal != nullptr; }));
    harness.server->resumeSignal->notify();
    CHECK(harness.runUntil([&] { return caller.endedByProxy; }));
    CHECK(contains(caller.received, "first"));
}

TEST(RequestProxy, RejectsAmbiguousFraming)
{
    const std::vector<std::string> fields {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Host: t\r\n",
    };
    for (const auto& field : fields) {
        ProxyHarness harness(respondToAll);
        auto& caller = harness.connect();
        caller.send("POST /order HTTP/1.1\r\nHost: s\r\n" + field + "\r\n0\r\n\r\n");
        CHECK_TEXT(harness.runUntilReceived(caller, "400 Bad Request"), field.c_str());
        CHECK(contains(caller.received, "Clementinesill-Outcome: not-run"));
        CHECK_EQUAL(0, harness.server->connections);
    }
}
