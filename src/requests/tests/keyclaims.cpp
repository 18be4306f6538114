#include "requests/keyclaims.h"

#include "gateharness.h"
#include "requests/claimholder.h"
#include "requests/claimholders.h"
#include "requests/iclaimtransport.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

constexpr std::string_view keyedRequest = "POST /order HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";
const std::vector<std::uint32_t> agents { 1, 2, 3, 4 };

// Holders in this process; some may be cut off.
class FakeTransport final : public IClaimTransport {
public:
    FakeTransport()
    {
        ClaimOptions options;
        options.viewLag = std::chrono::hours(1);
        for (const auto server : agents)
            holders.push_back(std::make_unique<ClaimHolder>(server, options, clock));
        confirmViews();
        clock.advance(options.abstention());
        confirmViews();
    }

    void confirmViews()
    {
        for (const auto& holder : holders)
            holder->onView(agents);
    }

    boost::asio::awaitable<std::optional<ClaimBallot>> ask(std::uint32_t holder, std::string key, ClaimId claim) override
    {
        if (std::count(cutOff.begin(), cutOff.end(), holder) > 0)
            co_return std::nullopt;
        co_return holders[holder - 1]->vote(key, claim);
    }

    void release(std::uint32_t holder, const std::string& key, const ClaimId& claim) override { holders[holder - 1]->release(key, claim); }

    ManualClock clock;
    std::vector<std::unique_ptr<ClaimHolder>> holders;
    std::vector<std::uint32_t> cutOff;
};

// One agent of the service: its claims and its gate with a backend server of its own.
struct Agent {
    Agent(std::uint32_t server, FakeTransport& transport, FakeServer::Script script)
        : harness(std::move(script))
        , claims(server, 1, { .roundTimeout = std::chrono::milliseconds(20) }, transport, transport.clock, harness.context.get_executor())
    {
        claims.onView(agents);
        harness.useClaims(claims);
    }

    GateHarness harness;
    KeyClaims claims;
};

FakeServer::Script answering(std::string answer)
{
    return [answer](FakeServer::Socket& socket, FakeServer& server) -> boost::asio::awaitable<void> {
        const auto got = co_await FakeServer::readRequest(socket, server, 4);
        if (got)
            co_await FakeServer::write(socket, answer);
    };
}

const std::string madeAnswer = "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade";
const std::string shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// clang-format off
TEST_GROUP(KeyClaims)
{
    FakeTransport transport;
};
// clang-format on

TEST(KeyClaims, KeyedOrderRunsOnOneAgentOnly)
{
    Agent first(1, transport, answering(madeAnswer));
    Agent second(2, transport, answering(madeAnswer));
    auto& caller = first.harness.connect();
    caller.send(keyedRequest);
    CHECK(first.harness.runUntilReceived(caller, "made"));
    auto& resent = second.harness.connect();
    resent.send(keyedRequest);
    CHECK(second.harness.runUntilReceived(resent, "409 Conflict"));
    CHECK(resent.received.find("Clementinesill-Outcome: unknown") != std::string::npos);
    CHECK_EQUAL(0U, second.harness.server->requests.size());
}

TEST(KeyClaims, KeyWhoseOrderWasShedMayRunElsewhere)
{
    Agent first(1, transport, answering(shedAnswer));
    Agent second(2, transport, answering(madeAnswer));
    auto& caller = first.harness.connect();
    caller.send(keyedRequest);
    CHECK(first.harness.runUntilReceived(caller, "503"));
    // The key is freed after the answer was passed on.
    caller.sendEnd();
    CHECK(first.harness.runUntilServed());
    auto& resent = second.harness.connect();
    resent.send(keyedRequest);
    CHECK(second.harness.runUntilReceived(resent, "made"));
}

TEST(KeyClaims, WithoutMajorityNothingIsRun)
{
    transport.cutOff = agents;
    transport.cutOff.erase(std::find(transport.cutOff.begin(), transport.cutOff.end(), claimHolders("k1", agents)[0]));
    Agent agent(1, transport, answering(madeAnswer));
    auto& caller = agent.harness.connect();
    caller.send(keyedRequest);
    CHECK(agent.harness.runUntilReceived(caller, "503"));
    CHECK(caller.received.find("Clementinesill-Outcome: not-run") != std::string::npos);
    CHECK_EQUAL(0U, agent.harness.server->requests.size());
    // The one grant was freed, so the key runs once the others are back.
    transport.cutOff.clear();
    auto& resent = agent.harness.connect();
    resent.send(keyedRequest);
    CHECK(agent.harness.runUntilReceived(resent, "made"));
}
