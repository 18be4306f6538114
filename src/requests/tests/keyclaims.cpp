#include "requests/keyclaims.h"

#include "proxyharness.h"
#include "requests/claimvoter.h"
#include "requests/claimvoters.h"
#include "requests/iclaimtransport.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <stdexcept>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

constexpr std::string_view keyedRequest = "POST /order HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";
const std::vector<std::uint32_t> agents { 1, 2, 3, 4 };

// Calls voters in this process; voters in unreachable do not respond.
class FakeTransport final : public IClaimTransport {
public:
    FakeTransport()
    {
        ClaimOptions options;
        options.maxViewDelay = std::chrono::hours(1);
        for (const auto server : agents)
            voters.push_back(std::make_unique<ClaimVoter>(server, options, clock));
        refreshViews();
        clock.advance(options.abstentionPeriod());
        refreshViews();
    }

    void refreshViews()
    {
        for (const auto& voter : voters)
            voter->onView(agents);
    }

    boost::asio::awaitable<std::optional<ClaimResponse>> requestVote(std::uint32_t voter, std::string key, ClaimId claim) override
    {
        if (std::count(unreachable.begin(), unreachable.end(), voter) > 0)
            co_return std::nullopt;
        co_return voters[voter - 1]->vote(key, claim);
    }

    void release(std::uint32_t voter, const std::string& key, const ClaimId& claim) override { voters[voter - 1]->release(key, claim); }

    ManualClock clock;
    std::vector<std::unique_ptr<ClaimVoter>> voters;
    std::vector<std::uint32_t> unreachable;
};

// One agent of the service: its claims, and its proxy with a separate backend server.
struct Agent {
    Agent(std::uint32_t server, FakeTransport& transport, FakeServer::Script script)
        : harness(std::move(script))
        , claims(server, 1, { .roundTimeout = std::chrono::milliseconds(20) }, transport, transport.clock, harness.context.get_executor())
    {
        claims.onView(agents);
        harness.useClaims(claims);
    }

    ProxyHarness harness;
    KeyClaims claims;
};

FakeServer::Script respondWith(std::string response)
{
    return [response](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto received = co_await FakeServer::readRequest(socket, server, 4);
        if (received)
            co_await FakeServer::write(socket, response);
    };
}

const std::string createdResponse = "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade";
const std::string rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// clang-format off
TEST_GROUP(KeyClaims)
{
    FakeTransport transport;
};
// clang-format on

TEST(KeyClaims, RunsKeyedRequestOnOneAgentOnly)
{
    Agent first(1, transport, respondWith(createdResponse));
    Agent second(2, transport, respondWith(createdResponse));
    auto& caller = first.harness.connect();
    caller.send(keyedRequest);
    CHECK(first.harness.runUntilReceived(caller, "made"));
    auto& resent = second.harness.connect();
    resent.send(keyedRequest);
    CHECK(second.harness.runUntilReceived(resent, "409 Conflict"));
    CHECK(resent.received.find("Clementinesill-Outcome: unknown") != std::string::npos);
    CHECK_EQUAL(0U, second.harness.server->requests.size());
}

// Guards against an error inside the proxy that ends the caller's connection like a complete response.
TEST(KeyClaims, FailedClaimResetsCallersConnection)
{
    // Stands for any error; a real claim does not throw.
    class FailingClaims final : public IKeyClaims {
    public:
        boost::asio::awaitable<ClaimResult> claim(std::string, std::uint64_t) override
        {
            throw std::runtime_error("claim failed");
            co_return ClaimResult::NoMajority;
        }
        void release(const std::string&) override { }
    } claims;
    ProxyHarness harness(respondWith(createdResponse));
    harness.useClaims(claims);
    auto& caller = harness.connect();
    caller.send(keyedRequest);
    CHECK(harness.runUntilServed());
    CHECK(caller.resetByProxy);
    CHECK_FALSE(caller.endedByProxy);
}

TEST(KeyClaims, ReleasesKeyOfRejectedRequestForOtherAgents)
{
    Agent first(1, transport, respondWith(rejectionResponse));
    Agent second(2, transport, respondWith(createdResponse));
    auto& caller = first.harness.connect();
    caller.send(keyedRequest);
    CHECK(first.harness.runUntilReceived(caller, "503"));
    // The key is released after the response was forwarded.
    caller.sendEnd();
    CHECK(first.harness.runUntilServed());
    auto& resent = second.harness.connect();
    resent.send(keyedRequest);
    CHECK(second.harness.runUntilReceived(resent, "made"));
}

TEST(KeyClaims, RejectsKeyedRequestWithoutMajority)
{
    transport.unreachable = agents;
    transport.unreachable.erase(std::find(transport.unreachable.begin(), transport.unreachable.end(), claimVoters("k1", agents)[0]));
    Agent agent(1, transport, respondWith(createdResponse));
    auto& caller = agent.harness.connect();
    caller.send(keyedRequest);
    CHECK(agent.harness.runUntilReceived(caller, "503"));
    // One of the voters that did not respond may have granted the key to another agent, which ran the request.
    CHECK(caller.received.find("Clementinesill-Outcome: unknown") != std::string::npos);
    CHECK_EQUAL(0U, agent.harness.server->requests.size());
    // The single grant was released, so the request runs once all voters are reachable.
    transport.unreachable.clear();
    auto& resent = agent.harness.connect();
    resent.send(keyedRequest);
    CHECK(agent.harness.runUntilReceived(resent, "made"));
}
