#include "operators/controllerclient.h"

#include "control.pb.h"
#include "foundation/error.h"
#include "foundation/seededrandom.h"
#include "operators/ioperatorschannel.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace clementinesill;
using namespace clementinesill::operators;

namespace {

// Returns the scripted results in turn and records each call. The last result repeats.
class ScriptedChannel final : public IOperatorsChannel {
public:
    struct Call {
        std::string controller;
        std::string requestId;
    };
    // Result of one call: returns an outcome, or throws an error from before or after the request was sent.
    using Result = std::function<schema::Outcome()>;

    schema::ChangeResponse apply(const std::string& controller, const schema::ApplyRequest& request, std::chrono::milliseconds) override { return respond<schema::ChangeResponse>(controller, request.request_id()); }
    schema::ChangeResponse setZone(const std::string& controller, const schema::SetZoneRequest& request, std::chrono::milliseconds) override { return respond<schema::ChangeResponse>(controller, request.request_id()); }
    schema::ChangeResponse drainServer(const std::string& controller, const schema::DrainServerRequest& request, std::chrono::milliseconds) override { return respond<schema::ChangeResponse>(controller, request.request_id()); }
    schema::ReadConfigResponse readConfig(const std::string& controller, const schema::ReadConfigRequest&, std::chrono::milliseconds) override { return respond<schema::ReadConfigResponse>(controller, ""); }
    schema::StatusResponse status(const std::string& controller, const schema::StatusRequest&, std::chrono::milliseconds) override { return respond<schema::StatusResponse>(controller, ""); }

    void events(const std::string&, const schema::EventsRequest& request, const std::function<bool(const schema::Event&)>& onEvent) override
    {
        schema::Event event;
        for (std::uint64_t number = 1; number <= 2; ++number) {
            // After a reconnect, the stream starts with the last event again.
            event.set_number(request.after() + number - (request.after() ? 1 : 0));
            if (!onEvent(event))
                return;
        }
        throw Error(ErrorKind::Network, "connection lost", "-");
    }

    std::deque<Result> script;
    std::vector<Call> calls;

private:
    template <typename Response>
    Response respond(const std::string& controller, const std::string& requestId)
    {
        calls.push_back({ controller, requestId });
        const auto result = script.front();
        if (script.size() > 1)
            script.pop_front();
        Response response;
        *response.mutable_outcome() = result();
        return response;
    }
};

ScriptedChannel::Result outcome(schema::Outcome::Code code, const std::string& hint = {})
{
    return [code, hint] {
        schema::Outcome outcome;
        outcome.set_code(code);
        outcome.set_leader_hint(hint);
        return outcome;
    };
}

ScriptedChannel::Result failure(ErrorKind kind)
{
    return [kind]() -> schema::Outcome { throw Error(kind, "failed", "-"); };
}

} // namespace

TEST_GROUP(ControllerClient)
{
    ScriptedChannel channel;
    ManualClock clock;
    SeededRandom random { 1 };

    ControllerClient client()
    {
        return { channel, clock, random, { .controllers = { "a", "b", "c" }, .timeout = std::chrono::seconds(10), .sleep = [this](Duration duration) { clock.advance(duration); } } };
    }

    ErrorKind failureOfApply()
    {
        try {
            apply();
        } catch (const Error& error) {
            return error.kind();
        }
        return ErrorKind::Malformed;
    }

    void apply()
    {
        schema::ApplyRequest request;
        request.set_request_id("id");
        client().apply(request);
    }
};

TEST(ControllerClient, RetriesAtNextControllerWithSameRequestIdAfterLostResponse)
{
    channel.script = { failure(ErrorKind::Network), outcome(schema::Outcome::CODE_UNKNOWN), outcome(schema::Outcome::CODE_OK) };
    apply();
    LONGS_EQUAL(3, channel.calls.size());
    STRCMP_EQUAL("a", channel.calls[0].controller.c_str());
    STRCMP_EQUAL("b", channel.calls[1].controller.c_str());
    STRCMP_EQUAL("c", channel.calls[2].controller.c_str());
    for (const auto& call : channel.calls)
        STRCMP_EQUAL("id", call.requestId.c_str());
}

TEST(ControllerClient, FollowsLeaderHint)
{
    channel.script = { outcome(schema::Outcome::CODE_NOT_LEADER, "c"), outcome(schema::Outcome::CODE_OK) };
    apply();
    STRCMP_EQUAL("c", channel.calls[1].controller.c_str());
}

TEST(ControllerClient, LeaderHintLoopEndsAtTimeout)
{
    channel.script = { outcome(schema::Outcome::CODE_NOT_LEADER, "b") };
    CHECK(failureOfApply() == ErrorKind::Unavailable);
    CHECK(channel.calls.size() < 100);
}

TEST(ControllerClient, ReportsUnavailableOnlyIfNoResponseWasLost)
{
    channel.script = { failure(ErrorKind::Unavailable) };
    CHECK(failureOfApply() == ErrorKind::Unavailable);
    channel.script = { outcome(schema::Outcome::CODE_NO_QUORUM) };
    CHECK(failureOfApply() == ErrorKind::Unavailable);
    channel.script = { failure(ErrorKind::Network), failure(ErrorKind::Unavailable) };
    CHECK(failureOfApply() == ErrorKind::Timeout);
    channel.script = { outcome(schema::Outcome::CODE_UNKNOWN), outcome(schema::Outcome::CODE_NO_QUORUM) };
    CHECK(failureOfApply() == ErrorKind::Timeout);
}

TEST(ControllerClient, DoesNotRetryFinalRejections)
{
    channel.script = { outcome(schema::Outcome::CODE_CONFLICT) };
    CHECK(failureOfApply() == ErrorKind::Conflict);
    channel.script = { outcome(schema::Outcome::CODE_INVALID) };
    CHECK(failureOfApply() == ErrorKind::InvalidConfiguration);
    channel.script = { outcome(schema::Outcome::CODE_NOT_FOUND) };
    CHECK(failureOfApply() == ErrorKind::NotFound);
    LONGS_EQUAL(3, channel.calls.size());
}

TEST(ControllerClient, FollowedEventsAreNotRepeatedAfterReconnect)
{
    std::vector<std::uint64_t> numbers;
    client().events(0, true, [&](const schema::Event& event) {
        numbers.push_back(event.number());
        return numbers.size() < 4;
    });
    for (std::size_t index = 0; index < numbers.size(); ++index)
        LONGS_EQUAL(index + 1, numbers[index]);
}
