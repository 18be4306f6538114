#include "requests/internal/requesttask.h"

#include "gateharness.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

constexpr std::string_view readRequest = "GET /a HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
constexpr std::string_view orderRequest = "POST /order HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
constexpr std::string_view keyedRequest = "POST /order HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";
constexpr std::string_view wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwhole answer";
constexpr std::string_view chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n";

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

bool saysNotRun(const FakeStream& caller)
{
    return contains(caller.received, "Clementinesill-Outcome: not-run");
}

bool saysUnknown(const FakeStream& caller)
{
    return contains(caller.received, "Clementinesill-Outcome: unknown");
}

// Answers everything with the bytes given and ends the connection.
FakeServer::Script answering(std::string answer, std::size_t bodyBytes = 0)
{
    return [answer, bodyBytes](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto got = co_await FakeServer::readRequest(socket, server, bodyBytes);
        if (got)
            co_await FakeServer::write(socket, answer);
    };
}

// Keeps a connection open without an answer until the gate ends it, and counts that.
FakeServer::Script silent(int& ended)
{
    return [&ended](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto got = co_await FakeServer::readRequest(socket, server);
        if (!got)
            co_return;
        char byte = 0;
        co_await FakeServer::readByte(socket, byte);
        ++ended;
    };
}

// What the caller was told must agree with what the server saw.
void checkTruth(GateHarness& harness, const FakeStream& caller, std::size_t serverBytes)
{
    if (saysNotRun(caller))
        CHECK_EQUAL(0U, serverBytes);
    if (contains(caller.received, "200 OK") && !caller.resetByGate)
        CHECK(contains(caller.received, "whole"));
    CHECK(caller.resetByGate || contains(caller.received, "200 OK") || saysNotRun(caller) || saysUnknown(caller));
    CHECK_EQUAL(0U, harness.admission.load().requests);
}

void cutAnswerAtEveryByte(std::string_view request, std::size_t bodyBytes, std::string_view answer)
{
    for (std::size_t cut = 0; cut < answer.size(); ++cut) {
        GateHarness harness(answering(std::string(answer.substr(0, cut)), bodyBytes));
        auto& caller = harness.connect();
        caller.send(request);
        CHECK(harness.runUntilServed());
        checkTruth(harness, caller, 1);
        // Never a whole answer out of a part.
        CHECK(caller.resetByGate || saysUnknown(caller));
    }
}

} // namespace

// clang-format off
TEST_GROUP(RequestTask) {};
// clang-format on

TEST(RequestTask, AnswerCutAtEveryByteIsNeverTakenForWhole)
{
    cutAnswerAtEveryByte(readRequest, 0, wholeAnswer.substr(0, wholeAnswer.size() - 1));
    cutAnswerAtEveryByte(orderRequest, 4, chunkedAnswer);
}

TEST(RequestTask, ServerLostAtEveryByteOfTheRequestIsNeverCalledNotRun)
{
    for (std::size_t cut = 1; cut < orderRequest.size(); ++cut) {
        std::size_t bytes = 0;
        GateHarness harness([&](FakeServer::Socket& socket, FakeServer&) -> boost::asio::awaitable<void> {
            char byte = 0;
            for (std::size_t index = 0; index < cut; ++index) {
                co_await FakeServer::readByte(socket, byte);
                ++bytes;
            }
            FakeServer::reset(socket);
        });
        auto& caller = harness.connect();
        caller.send(orderRequest);
        CHECK(harness.runUntilServed());
        checkTruth(harness, caller, bytes);
        CHECK(saysUnknown(caller));
        CHECK_EQUAL(1, harness.server->connections);
    }
}

TEST(RequestTask, CallerLostAtEveryByteRunsNoPart)
{
    for (std::size_t cut = 0; cut < orderRequest.size(); ++cut) {
        GateHarness harness(answering(std::string(wholeAnswer), 4));
        auto& caller = harness.connect();
        caller.send(orderRequest.substr(0, cut));
        caller.sendEnd();
        CHECK(harness.runUntilServed());
        CHECK_EQUAL(0U, harness.server->requests.size());
        CHECK_EQUAL(0U, harness.admission.load().requests);
    }
}

TEST(RequestTask, HalfACloseDoesNotCutAnOrder)
{
    GateHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server, 4);
        server.release = std::make_unique<Signal>(socket.get_executor());
        co_await server.release->wait();
        co_await FakeServer::write(socket, std::string(wholeAnswer));
    });
    auto& caller = harness.connect();
    caller.send(orderRequest);
    CHECK(harness.runUntil([&] { return harness.server->release != nullptr; }));
    caller.sendEnd();
    CHECK(harness.runUntil([&] { return caller.endRead; }));
    harness.server->release->notify();
    CHECK(harness.runUntilReceived(caller, "whole"));
}

TEST(RequestTask, LateAnswerDoesNotReachTheNextRequest)
{
    int ended = 0;
    GateHarness harness([&](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto got = co_await FakeServer::readRequest(socket, server);
        if (!got)
            co_return;
        const auto number = std::to_string(server.requests.size());
        char byte = 0;
        // The first answer comes only after the gate has given it up.
        if (number == "1")
            co_await FakeServer::readByte(socket, byte);
        const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer " + number;
        co_await FakeServer::write(socket, answer);
        ++ended;
    },
        { .requestTimeout = std::chrono::milliseconds(30) });
    auto& caller = harness.connect();
    caller.send("POST /late HTTP/1.1\r\nHost: s\r\n\r\n");
    CHECK(harness.runUntilReceived(caller, "504 Gateway Timeout"));
    CHECK(saysUnknown(caller));
    caller.send("POST /next HTTP/1.1\r\nHost: s\r\n\r\n");
    CHECK(harness.runUntilReceived(caller, "answer 2"));
    CHECK_FALSE(contains(caller.received, "answer 1"));
    CHECK(harness.runUntil([&] { return ended == 2; }));
}

TEST(RequestTask, CrossedAnswerIsNotDelivered)
{
    GateHarness harness(answering("HTTP/1.1 200 OK\r\nClementinesill-Exchange: 4711\r\nContent-Length: 5\r\n\r\nwrong"));
    auto& caller = harness.connect();
    caller.send(readRequest);
    CHECK(harness.runUntilServed());
    CHECK(contains(caller.received, "502 Bad Gateway"));
    CHECK_FALSE(contains(caller.received, "wrong"));
}

TEST(RequestTask, ExtraBytesAfterAnAnswerAreNotTheNextAnswer)
{
    GateHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto got = co_await FakeServer::readRequest(socket, server);
        if (!got)
            co_return;
        const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n#" + std::to_string(server.requests.size());
        co_await FakeServer::write(socket, answer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
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

TEST(RequestTask, RetriesReadsButNotOrders)
{
    constexpr std::string_view orderWithoutBody = "POST /order HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
    for (const auto request : { readRequest, orderRequest, orderWithoutBody }) {
        GateHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
            const auto got = co_await FakeServer::readRequest(socket, server);
            if (got && server.connections > 1)
                co_await FakeServer::write(socket, std::string(wholeAnswer));
        });
        auto& caller = harness.connect();
        caller.send(request);
        CHECK(harness.runUntilServed());
        const auto isRead = request == readRequest;
        CHECK_EQUAL(isRead ? 2U : 1U, harness.server->requests.size());
        CHECK(contains(caller.received, isRead ? "200 OK" : "502 Bad Gateway"));
    }
}

TEST(RequestTask, CancelsTheExchangeWhenTheCallerLeaves)
{
    int ended = 0;
    GateHarness harness(silent(ended));
    auto& caller = harness.connect();
    caller.send(readRequest);
    CHECK(harness.runUntil([&] { return harness.server->requests.size() == 1; }));
    CHECK_EQUAL(1U, harness.admission.load().requests);
    caller.sendEnd();
    CHECK(harness.runUntil([&] { return ended == 1; }));
    CHECK_EQUAL(0U, harness.admission.load().requests);
}

TEST(RequestTask, FeedOutlivesTheRequestTimeout)
{
    GateHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server);
        co_await FakeServer::write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
        boost::asio::steady_timer pause(socket.get_executor(), std::chrono::milliseconds(60));
        co_await pause.async_wait(boost::asio::use_awaitable);
        co_await FakeServer::write(socket, "6\r\nsecond\r\n0\r\n\r\n");
    },
        { .requestTimeout = std::chrono::milliseconds(30), .feedAfter = std::chrono::milliseconds(1) });
    auto& caller = harness.connect();
    caller.send(readRequest);
    CHECK(harness.runUntilReceived(caller, "first"));
    // An unbounded answer that stays open gives its slot back.
    CHECK(harness.runUntil([&] { return harness.admission.load().requests == 0; }));
    CHECK_FALSE(contains(caller.received, "second"));
    CHECK(harness.runUntilReceived(caller, "0\r\n\r\n"));
}

TEST(RequestTask, PassesOnWhatIsLeftOfTheDeadline)
{
    GateHarness harness(answering(std::string(wholeAnswer)));
    auto& caller = harness.connect();
    caller.send("GET /a HTTP/1.1\r\nHost: s\r\nRequest-Timeout-Ms: 5000\r\nConnection: close\r\n\r\n");
    CHECK(harness.runUntilServed());
    const auto& request = harness.server->requests[0];
    const auto left = std::stoi(request.substr(request.find("Request-Timeout-Ms: ") + 20));
    CHECK(left > 0 && left <= 5000);
}

TEST(RequestTask, ServersSheddingIsPassedOnWithWhenToComeBack)
{
    GateHarness harness(answering("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
    auto& caller = harness.connect();
    caller.send(readRequest);
    CHECK(harness.runUntilServed());
    CHECK(contains(caller.received, "Retry-After: 1"));
    CHECK_FALSE(saysNotRun(caller));
}

TEST(RequestTask, QueuesForAShortTimeThenRefusesAtOnce)
{
    int ended = 0;
    GateHarness harness(silent(ended), { .queue = { .length = 1, .interval = std::chrono::milliseconds(5) } });
    std::vector<FakeStream*> callers;
    for (int index = 0; index < 7; ++index) {
        callers.push_back(&harness.connect());
        callers.back()->send(readRequest);
    }
    const auto refused = [&] { return std::count_if(callers.begin(), callers.end(), [](auto* caller) { return saysNotRun(*caller); }); };
    CHECK(harness.runUntil([&] { return refused() == 2 && harness.server->requests.size() == 5; }));
    for (const auto* caller : callers) {
        if (saysNotRun(*caller))
            CHECK(contains(caller->received, "Retry-After: "));
    }
}

TEST(RequestTask, RefusesWhatIsOverTheLimits)
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
        GateHarness harness(answering(std::string(wholeAnswer)), { .limits = { .headerTimeout = std::chrono::milliseconds(20) } });
        auto& caller = harness.connect();
        caller.send(request);
        CHECK_TEXT(harness.runUntilReceived(caller, "HTTP/1.1 " + status), status.c_str());
        CHECK(saysNotRun(caller));
        CHECK_EQUAL(0, harness.server->connections);
    }
}

TEST(RequestTask, KeyedOrderIsReplayedNotRunAgain)
{
    GateHarness harness(answering("HTTP/1.1 201 Created\r\nX-Order: 7\r\nContent-Length: 4\r\n\r\nmade", 4));
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

TEST(RequestTask, KeyedOrderWhoseCallerLeftKeepsItsAnswer)
{
    GateHarness harness([](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        co_await FakeServer::readRequest(socket, server, 4);
        server.release = std::make_unique<Signal>(socket.get_executor());
        co_await server.release->wait();
        co_await FakeServer::write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade");
    });
    auto& caller = harness.connect();
    caller.send(keyedRequest);
    CHECK(harness.runUntil([&] { return harness.server->release != nullptr; }));
    auto& early = harness.connect();
    early.send(keyedRequest);
    CHECK(harness.runUntilReceived(early, "409 Conflict"));
    CHECK(contains(early.received, "Retry-After: 1"));
    CHECK(saysUnknown(early));
    caller.reset();
    harness.server->release->notify();
    CHECK(harness.runUntil([&] { return harness.served == 1; }));
    auto& second = harness.connect();
    second.send(keyedRequest);
    CHECK(harness.runUntilReceived(second, "made"));
    CHECK_EQUAL(1U, harness.server->requests.size());
}

TEST(RequestTask, KeyedOrderRunsAtMostOnceWithRandomResendsAndFaults)
{
    CHECK(rc::check("a keyed order runs at most once, and is run if it was answered", [] {
        // Per connection of the server: answer, reset after the request, cut the answer, shed.
        const auto faults = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
        const auto leaves = *rc::gen::container<std::vector<bool>>(5, rc::gen::arbitrary<bool>());
        int runs = 0;
        GateHarness harness([&](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
            const auto fault = faults[static_cast<std::size_t>(server.connections - 1) % faults.size()];
            const auto got = co_await FakeServer::readRequest(socket, server, 4);
            if (!got)
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
        for (const auto leave : leaves) {
            auto& caller = harness.connect();
            caller.send(keyedRequest);
            const auto served = harness.served;
            if (!leave)
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
