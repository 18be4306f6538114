#include "requests/internal/requesttask.h"

#include "proxyharness.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

constexpr std::string_view getRequest = "GET /a HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
constexpr std::string_view postRequest = "POST /order HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
constexpr std::string_view keyedRequest = "POST /order HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";
constexpr std::string_view completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwhole answer";
constexpr std::string_view chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n";

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

bool reportsNotRun(const FakeStream& caller)
{
    return contains(caller.received, "Clementinesill-Outcome: not-run");
}

bool reportsUnknown(const FakeStream& caller)
{
    return contains(caller.received, "Clementinesill-Outcome: unknown");
}

// Reads one request, writes the given bytes and closes the connection.
FakeServer::Script respondWith(std::string response, std::size_t bodyBytes = 0)
{
    return [response, bodyBytes](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto received = co_await FakeServer::readRequest(socket, server, bodyBytes);
        if (received)
            co_await FakeServer::write(socket, response);
    };
}

// Reads one request, sends no response, and increments ended when the proxy closes the connection.
FakeServer::Script neverRespond(int& ended)
{
    return [&ended](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto received = co_await FakeServer::readRequest(socket, server);
        if (!received)
            co_return;
        char byte = 0;
        co_await FakeServer::readByte(socket, byte);
        ++ended;
    };
}

// Checks that the outcome reported to the caller agrees with what the server received.
void checkOutcomeMatchesServer(ProxyHarness& harness, const FakeStream& caller, std::size_t serverBytes)
{
    if (reportsNotRun(caller))
        CHECK_EQUAL(0U, serverBytes);
    if (contains(caller.received, "200 OK") && !caller.resetByProxy)
        CHECK(contains(caller.received, "whole"));
    CHECK(caller.resetByProxy || contains(caller.received, "200 OK") || reportsNotRun(caller) || reportsUnknown(caller));
    CHECK_EQUAL(0U, harness.admission.load().requests);
}

void truncateResponseAtEveryByte(std::string_view request, std::size_t bodyBytes, std::string_view response)
{
    for (std::size_t length = 0; length < response.size(); ++length) {
        ProxyHarness harness(respondWith(std::string(response.substr(0, length)), bodyBytes));
        auto& caller = harness.connect();
        caller.send(request);
        CHECK(harness.runUntilServed());
        checkOutcomeMatchesServer(harness, caller, 1);
        // A truncated response is never reported as complete.
        CHECK(caller.resetByProxy || reportsUnknown(caller));
    }
}

} // namespace

// clang-format off
TEST_GROUP(RequestTask) {};
// clang-format on

TEST(RequestTask, NeverReportsTruncatedResponseAsComplete)
{
    truncateResponseAtEveryByte(getRequest, 0, completeResponse.substr(0, completeResponse.size() - 1));
    truncateResponseAtEveryByte(postRequest, 4, chunkedResponse);
}

TEST(RequestTask, ReportsUnknownWhenServerResetsWithinRequest)
{
    for (std::size_t length = 1; length < postRequest.size(); ++length) {
        std::size_t bytes = 0;
        ProxyHarness harness([&](FakeServer::Socket& socket, FakeServer&) -> boost::asio::awaitable<void> {
            char byte = 0;
            for (std::size_t index = 0; index < length; ++index) {
                co_await FakeServer::readByte(socket, byte);
                ++bytes;
            }
            FakeServer::reset(socket);
        });
        auto& caller = harness.connect();
        caller.send(postRequest);
        CHECK(harness.runUntilServed());
        checkOutcomeMatchesServer(harness, caller, bytes);
        CHECK(reportsUnknown(caller));
        CHECK_EQUAL(1, harness.server->connections);
    }
}

TEST(RequestTask, DoesNotForwardIncompleteRequest)
{
    for (std::size_t length = 0; length < postRequest.size(); ++length) {
        ProxyHarness harness(respondWith(std::string(completeResponse), 4));
        auto& caller = harness.connect();
        caller.send(postRequest.substr(0, length));
        caller.sendEnd();
        CHECK(harness.runUntilServed());
        CHECK_EQUAL(0U, harness.server->requests.size());
        CHECK_EQUAL(0U, harness.admission.load().requests);
    }
}

TEST(RequestTask, HalfCloseDoesNotAbortNonIdempotentRequest)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server, 4);
        server.resumeSignal = std::make_unique<Signal>(socket.get_executor());
        co_await server.resumeSignal->wait();
        co_await FakeServer::write(socket, std::string(completeResponse));
    });
    auto& caller = harness.connect();
    caller.send(postRequest);
    CHECK(harness.runUntil([&] { return harness.server->resumeSignal != nullptr; }));
    caller.sendEnd();
    CHECK(harness.runUntil([&] { return caller.endOfStreamRead; }));
    harness.server->resumeSignal->notify();
    CHECK(harness.runUntilReceived(caller, "whole"));
}

TEST(RequestTask, LateResponseDoesNotReachNextRequest)
{
    int ended = 0;
    ProxyHarness harness([&](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto received = co_await FakeServer::readRequest(socket, server);
        if (!received)
            co_return;
        const auto number = std::to_string(server.requests.size());
        char byte = 0;
        // The first response is sent only after the proxy has abandoned the exchange.
        if (number == "1")
            co_await FakeServer::readByte(socket, byte);
        const auto response = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer " + number;
        co_await FakeServer::write(socket, response);
        ++ended;
    },
        { .requestTimeout = std::chrono::milliseconds(30) });
    auto& caller = harness.connect();
    caller.send("POST /late HTTP/1.1\r\nHost: s\r\n\r\n");
    CHECK(harness.runUntilReceived(caller, "504 Gateway Timeout"));
    CHECK(reportsUnknown(caller));
    caller.send("POST /next HTTP/1.1\r\nHost: s\r\n\r\n");
    CHECK(harness.runUntilReceived(caller, "answer 2"));
    CHECK_FALSE(contains(caller.received, "answer 1"));
    CHECK(harness.runUntil([&] { return ended == 2; }));
}

TEST(RequestTask, DoesNotForwardResponseForOtherRequest)
{
    ProxyHarness harness(respondWith("HTTP/1.1 200 OK\r\nClementinesill-Exchange: 4711\r\nContent-Length: 5\r\n\r\nwrong"));
    auto& caller = harness.connect();
    caller.send(getRequest);
    CHECK(harness.runUntilServed());
    CHECK(contains(caller.received, "502 Bad Gateway"));
    CHECK_FALSE(contains(caller.received, "wrong"));
}

TEST(RequestTask, ExtraBytesAfterResponseAreNotNextResponse)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto received = co_await FakeServer::readRequest(socket, server);
        if (!received)
            co_return;
        const auto response = "HTTP/1.1 200 OK\r\n" + FakeServer::echoField(server.requests.back()) + "Content-Length: 2\r\n\r\n#" + std::to_string(server.requests.size());
        co_await FakeServer::write(socket, response + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        char byte = 0;
        co_await FakeServer::readByte(socket, byte);
    });
    auto& caller = harness.connect();
    caller.send("GET /1 HTTP/1.1\r\nHost: s\r\n\r\n");
    CHECK(harness.runUntilReceived(caller, "#1"));
    caller.send("GET /2 HTTP/1.1\r\nHost: s\r\n\r\n");
    CHECK(harness.runUntilReceived(caller, "#2"));
    CHECK_FALSE(contains(caller.received, "extra"));
}

// Guards against a second copy of a response that arrives late, on a connection that carries the next request, and is taken for
// that request's response. A server that names exchanges has its connections reused, one that does not gets a new one each time.
TEST(RequestTask, LateCopyOfResponseDoesNotReachNextRequest)
{
    for (const bool echoes : { false, true }) {
        ProxyHarness harness([echoes](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
            std::string previous;
            while (true) {
                const auto received = co_await FakeServer::readRequest(socket, server);
                if (!received)
                    co_return;
                const auto request = server.requests.back();
                const auto target = request.substr(4, 2);
                const auto response = "HTTP/1.1 200 OK\r\n" + (echoes ? FakeServer::echoField(request) : "") + "Content-Length: 2\r\n\r\n" + target;
                co_await FakeServer::write(socket, previous + response);
                previous = response;
            }
        });
        auto& first = harness.connect();
        first.send("GET /1 HTTP/1.1\r\nHost: s\r\n\r\n");
        CHECK(harness.runUntilReceived(first, "\r\n\r\n/1"));
        auto& second = harness.connect();
        second.send("GET /2 HTTP/1.1\r\nHost: s\r\n\r\n");
        CHECK(harness.runUntilReceived(second, "\r\n\r\n/"));
        CHECK_FALSE(contains(second.received, "\r\n\r\n/1"));
        CHECK(contains(second.received, "\r\n\r\n/2"));
    }
}

// Guards against a server that names its exchange in the first response only: the connection is in use again, and a response
// without the name may be a late copy.
TEST(RequestTask, ReusedConnectionNeedsNamedExchange)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        for (int count = 0;; ++count) {
            const auto received = co_await FakeServer::readRequest(socket, server);
            if (!received)
                co_return;
            const auto body = count ? "late" : "own!";
            const auto response = "HTTP/1.1 200 OK\r\n" + (count ? std::string() : FakeServer::echoField(server.requests.back())) + "Content-Length: 4\r\n\r\n" + body;
            co_await FakeServer::write(socket, response);
        }
    });
    for (int count = 0; count < 2; ++count) {
        auto& caller = harness.connect();
        caller.send("GET /1 HTTP/1.1\r\nHost: s\r\n\r\n");
        CHECK(harness.runUntilReceived(caller, "\r\n\r\nown!"));
        CHECK_FALSE(contains(caller.received, "late"));
    }
}

TEST(RequestTask, RetriesOnlyIdempotentRequests)
{
    constexpr std::string_view postWithoutBody = "POST /order HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
    for (const auto request : { getRequest, postRequest, postWithoutBody }) {
        ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
            const auto received = co_await FakeServer::readRequest(socket, server);
            if (received && server.connections > 1)
                co_await FakeServer::write(socket, std::string(completeResponse));
        });
        auto& caller = harness.connect();
        caller.send(request);
        CHECK(harness.runUntilServed());
        const auto isIdempotent = request == getRequest;
        CHECK_EQUAL(isIdempotent ? 2U : 1U, harness.server->requests.size());
        CHECK(contains(caller.received, isIdempotent ? "200 OK" : "502 Bad Gateway"));
    }
}

TEST(RequestTask, CancelsExchangeWhenCallerDisconnects)
{
    int ended = 0;
    ProxyHarness harness(neverRespond(ended));
    auto& caller = harness.connect();
    caller.send(getRequest);
    CHECK(harness.runUntil([&] { return harness.server->requests.size() == 1; }));
    CHECK_EQUAL(1U, harness.admission.load().requests);
    caller.sendEnd();
    CHECK(harness.runUntil([&] { return ended == 1; }));
    CHECK_EQUAL(0U, harness.admission.load().requests);
}

TEST(RequestTask, StreamingResponseOutlivesRequestTimeout)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server);
        co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
        boost::asio::steady_timer pause(socket.get_executor(), std::chrono::milliseconds(60));
        co_await pause.async_wait(boost::asio::use_awaitable);
        co_await FakeServer::write(socket, "6\r\nsecond\r\n0\r\n\r\n");
    },
        { .requestTimeout = std::chrono::milliseconds(30), .streamingAfter = std::chrono::milliseconds(1) });
    auto& caller = harness.connect();
    caller.send(getRequest);
    CHECK(harness.runUntilReceived(caller, "first"));
    // A response without Content-Length that stays open frees its admission slot.
    CHECK(harness.runUntil([&] { return harness.admission.load().requests == 0; }));
    CHECK_FALSE(contains(caller.received, "second"));
    CHECK(harness.runUntilReceived(caller, "0\r\n\r\n"));
}

TEST(RequestTask, ForwardsRemainingTimeOfDeadline)
{
    ProxyHarness harness(respondWith(std::string(completeResponse)));
    auto& caller = harness.connect();
    caller.send("GET /a HTTP/1.1\r\nHost: s\r\nRequest-Timeout-Ms: 5000\r\nConnection: close\r\n\r\n");
    CHECK(harness.runUntilServed());
    const auto& request = harness.server->requests[0];
    const auto left = std::stoi(request.substr(request.find("Request-Timeout-Ms: ") + 20));
    CHECK(left > 0 && left <= 5000);
}

TEST(RequestTask, AddsRetryAfterToServerRejection)
{
    ProxyHarness harness(respondWith("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
    auto& caller = harness.connect();
    caller.send(getRequest);
    CHECK(harness.runUntilServed());
    CHECK(contains(caller.received, "Retry-After: 1"));
    CHECK_FALSE(reportsNotRun(caller));
}

TEST(RequestTask, QueuesBrieflyThenRejectsImmediately)
{
    int ended = 0;
    ProxyHarness harness(neverRespond(ended), { .queue = { .maximumLength = 1, .interval = std::chrono::milliseconds(5) } });
    std::vector<FakeStream*> callers;
    for (int index = 0; index < 7; ++index) {
        callers.push_back(&harness.connect());
        callers.back()->send(getRequest);
    }
    const auto rejectedCount = [&] { return std::count_if(callers.begin(), callers.end(), [](auto* caller) { return reportsNotRun(*caller); }); };
    CHECK(harness.runUntil([&] { return rejectedCount() == 2 && harness.server->requests.size() == 5; }));
    for (const auto* caller : callers) {
        if (reportsNotRun(*caller))
            CHECK(contains(caller->received, "Retry-After: "));
    }
}

// Guards against an order that waits behind reads, and against a read with little time left that waits behind one with more.
TEST(RequestTask, AdmitsOrdersThenEarliestDeadlineFirst)
{
    std::vector<std::unique_ptr<Signal>> running;
    ProxyHarness harness([&](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
            co_await FakeServer::readRequest(socket, server);
            running.push_back(std::make_unique<Signal>(socket.get_executor()));
            auto& signal = *running.back();
            co_await signal.wait();
            co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); },
        { .queue = { .interval = std::chrono::seconds(10) } });
    for (int index = 0; index < 5; ++index)
        harness.connect().send(getRequest);
    CHECK(harness.runUntil([&] { return running.size() == 5; }));
    harness.connect().send("GET /patient HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
    harness.connect().send("GET /urgent HTTP/1.1\r\nHost: s\r\nRequest-Timeout-Ms: 20000\r\nConnection: close\r\n\r\n");
    harness.connect().send("POST /order HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    harness.context.poll();
    const std::vector<std::string_view> expected { "POST /order", "GET /urgent", "GET /patient" };
    for (std::size_t index = 0; index < expected.size(); ++index) {
        running[index]->notify();
        CHECK(harness.runUntil([&] { return running.size() == 6 + index; }));
        CHECK(harness.server->requests.back().starts_with(expected[index]));
    }
    for (const auto& signal : running)
        signal->notify();
    CHECK(harness.runUntilServed());
}

// Guards against a displaced request that is answered only after its maximum wait, or not at all.
TEST(RequestTask, RejectsDisplacedReadImmediately)
{
    int ended = 0;
    ProxyHarness harness(neverRespond(ended), { .queue = { .maximumLength = 1, .interval = std::chrono::minutes(1) } });
    for (int index = 0; index < 5; ++index)
        harness.connect().send(getRequest);
    CHECK(harness.runUntil([&] { return harness.server->requests.size() == 5; }));
    auto& read = harness.connect();
    read.send(getRequest);
    harness.context.poll();
    auto& order = harness.connect();
    order.send(postRequest);
    CHECK(harness.runUntilReceived(read, "queue_too_long"));
    CHECK(reportsNotRun(read));
    CHECK(contains(read.received, "Retry-After: "));
    CHECK(order.received.empty());
    CHECK_EQUAL(5U, harness.server->requests.size());
}

TEST(RequestTask, RejectsRequestsOverLimits)
{
    const std::vector<std::pair<std::string, std::string>> cases {
        { "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: s\r\n\r\n", "414" },
        { "GET / HTTP/1.1\r\nHost: s\r\nX: " + std::string(20000, 'a') + "\r\n\r\n", "431" },
        { "CONNECT a:1 HTTP/1.1\r\nHost: s\r\n\r\n", "501" },
        { "GET / HTTP/1.1\r\n\r\n", "400" },
        { "nonsense\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\nHost: s\r\nRequest-Timeout-Ms: soon\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\nHost: s\r\n", "408" },
    };
    for (const auto& [request, status] : cases) {
        ProxyHarness harness(respondWith(std::string(completeResponse)), { .limits = { .headerTimeout = std::chrono::milliseconds(20) } });
        auto& caller = harness.connect();
        caller.send(request);
        CHECK_TEXT(harness.runUntilReceived(caller, "HTTP/1.1 " + status), status.c_str());
        CHECK(reportsNotRun(caller));
        CHECK_EQUAL(0, harness.server->connections);
    }
}

TEST(RequestTask, ReplaysResponseToKeyedRequest)
{
    ProxyHarness harness(respondWith("HTTP/1.1 201 Created\r\nX-Order: 7\r\nContent-Length: 4\r\n\r\nmade", 4));
    auto& caller = harness.connect();
    caller.send(keyedRequest);
    CHECK(harness.runUntilReceived(caller, "made"));
    auto& second = harness.connect();
    second.send(keyedRequest);
    CHECK(harness.runUntilReceived(second, "made"));
    CHECK(contains(second.received, "Idempotency-Replayed: true"));
    CHECK(contains(second.received, "X-Order: 7"));
    auto& other = harness.connect();
    other.send("POST /order HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nelse");
    CHECK(harness.runUntilReceived(other, "422 Unprocessable Entity"));
    CHECK_EQUAL(1U, harness.server->requests.size());
}

TEST(RequestTask, StoresResponseToKeyedRequestAfterCallerDisconnects)
{
    ProxyHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server, 4);
        server.resumeSignal = std::make_unique<Signal>(socket.get_executor());
        co_await server.resumeSignal->wait();
        co_await FakeServer::write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade");
    });
    auto& caller = harness.connect();
    caller.send(keyedRequest);
    CHECK(harness.runUntil([&] { return harness.server->resumeSignal != nullptr; }));
    auto& early = harness.connect();
    early.send(keyedRequest);
    CHECK(harness.runUntilReceived(early, "409 Conflict"));
    CHECK(contains(early.received, "Retry-After: 1"));
    CHECK(reportsUnknown(early));
    caller.reset();
    harness.server->resumeSignal->notify();
    CHECK(harness.runUntil([&] { return harness.served == 1; }));
    auto& second = harness.connect();
    second.send(keyedRequest);
    CHECK(harness.runUntilReceived(second, "made"));
    CHECK_EQUAL(1U, harness.server->requests.size());
}

// Guards against a caller that is told "not run" after an earlier attempt with its key has run: at another agent, or at this one
// before a restart. Each agent here has no record of the first attempt, and rejects the second one for another reason.
TEST(RequestTask, NeverReportsKeyedRequestAsNotRun)
{
    ProxyHarness first(respondWith("HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade", 4));
    auto& caller = first.connect();
    caller.send(keyedRequest);
    CHECK(first.runUntilReceived(caller, "made"));
    const auto checkSecondAgent = [](ProxyHarness& agent, std::string_view status) {
        auto& resent = agent.connect();
        resent.send(keyedRequest);
        CHECK_TEXT(agent.runUntilReceived(resent, status), status.data());
        CHECK_TEXT(reportsUnknown(resent), status.data());
        CHECK_FALSE_TEXT(reportsNotRun(resent), status.data());
    };
    int ended = 0;
    {
        ProxyHarness serverDown(neverRespond(ended));
        serverDown.server->stop();
        checkSecondAgent(serverDown, "503");
    }
    {
        ProxyHarness busy(neverRespond(ended), { .queue = { .maximumLength = 0 } });
        for (int index = 0; index < 5; ++index)
            busy.connect().send(getRequest);
        CHECK(busy.runUntil([&] { return busy.server->requests.size() == 5; }));
        checkSecondAgent(busy, "503");
    }
    {
        ProxyHarness keysUsed(respondWith(std::string(completeResponse), 4), { .keyStore = { .maxKeys = 1 } });
        auto& other = keysUsed.connect();
        other.send("POST /other HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k2\r\nContent-Length: 4\r\n\r\nbody");
        CHECK(keysUsed.runUntilReceived(other, "200 OK"));
        checkSecondAgent(keysUsed, "503");
    }
}

// Guards against a caller that renews its credentials between two attempts and is told that the first one has not run.
TEST(RequestTask, KeyOfRequestThatRanIsNotReportedNotRunAfterFieldsChange)
{
    ProxyHarness harness(respondWith("HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade", 4));
    for (const std::string token : { "old", "new" }) {
        auto& caller = harness.connect();
        caller.send("POST /order HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k1\r\nAuthorization: Bearer " + token + "\r\nContent-Length: 4\r\n\r\nbody");
        CHECK(harness.runUntilReceived(caller, token == "old" ? "made" : "422 Unprocessable Entity"));
        CHECK_FALSE(reportsNotRun(caller));
    }
    CHECK_EQUAL(1U, harness.server->requests.size());
}

TEST(RequestTask, RunsKeyedRequestAtMostOnceUnderRandomRetriesAndFaults)
{
    CHECK(rc::check("a request with an idempotency key runs at most once, and ran if its caller received a response", [] {
        // Fault per server connection: 0 none, 1 reset after the request, 2 truncated response, 3 rejection (503).
        const auto faults = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
        const auto disconnects = *rc::gen::container<std::vector<bool>>(5, rc::gen::arbitrary<bool>());
        int runs = 0;
        ProxyHarness harness([&](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
            const auto fault = faults[static_cast<std::size_t>(server.connections - 1) % faults.size()];
            const auto received = co_await FakeServer::readRequest(socket, server, 4);
            if (!received)
                co_return;
            if (fault == 3) {
                co_await FakeServer::write(socket, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
                co_return;
            }
            ++runs;
            if (fault == 1)
                FakeServer::reset(socket);
            if (fault == 2)
                co_await FakeServer::write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nm");
            if (fault == 0)
                co_await FakeServer::write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade");
        });
        for (const auto disconnect : disconnects) {
            auto& caller = harness.connect();
            caller.send(keyedRequest);
            const auto served = harness.served;
            if (!disconnect)
                RC_ASSERT(harness.runUntil([&] { return caller.received.find("\r\n\r\n") != std::string::npos || caller.aborted; }));
            caller.reset();
            RC_ASSERT(harness.runUntil([&] { return harness.served == served + 1; }));
            RC_ASSERT(runs <= 1);
            if (caller.received.find("201 Created") != std::string::npos)
                RC_ASSERT(runs == 1);
        }
        RC_ASSERT(harness.admission.load().requests == 0U);
    }));
}
