#include "operators/controllerclient.h"

#include "control.pb.h"
#include "foundation/error.h"
#include "foundation/irandom.h"
#include "operators/internal/retrystate.h"
#include "operators/ioperatorschannel.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace clementinesill::operators {

namespace {

constexpr std::chrono::milliseconds initialBackoff { 50 };
constexpr std::chrono::milliseconds maximumBackoff { 300 };

std::string formatSeconds(std::chrono::milliseconds duration)
{
    std::ostringstream text;
    text << static_cast<double>(duration.count()) / 1000 << " s";
    return text.str();
}

} // namespace

ControllerClient::ControllerClient(IOperatorsChannel& channel, const IClock& clock, IRandom& random, ControllerClientOptions options)
    : m_channel(channel)
    , m_clock(clock)
    , m_random(random)
    , m_options(std::move(options))
{
    if (m_options.controllers.empty())
        throw Error(ErrorKind::InvalidArgument, "no controllers are configured", "list them with --controllers or in the client settings");
}

const std::string& ControllerClient::nextController()
{
    return m_options.controllers[m_nextIndex++ % m_options.controllers.size()];
}

// Uses full jitter so that clients that failed at the same time do not retry at the same time.
void ControllerClient::backOff(unsigned attempt)
{
    constexpr unsigned maximumShift = 8;
    const auto ceiling = std::min(maximumBackoff, initialBackoff * (1U << std::min(attempt, maximumShift)));
    m_options.sleep(std::chrono::milliseconds(1 + m_random.below(static_cast<std::uint64_t>(ceiling.count()))));
}

template <typename Request, typename Response>
Response ControllerClient::call(Response (IOperatorsChannel::*method)(const std::string&, const Request&, std::chrono::milliseconds), const Request& request, const std::string& requestId)
{
    const auto deadline = m_clock.now() + m_options.timeout;
    RetryState retryState;
    auto controller = nextController();
    for (unsigned attempt = 0; m_clock.now() < deadline; ++attempt) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - m_clock.now());
        try {
            auto response = (m_channel.*method)(controller, request, std::min(remaining, m_options.attemptTimeout));
            if (retryState.record(response.outcome()))
                return response;
        } catch (const Error& error) {
            retryState.record(error);
        }
        controller = retryState.takeLeaderHint();
        // A leader hint in the first response is followed without a delay; later ones may form a loop.
        if (!controller.empty() && !attempt)
            continue;
        backOff(attempt);
        if (controller.empty())
            controller = nextController();
    }
    throwFailure(retryState, requestId);
}

void ControllerClient::throwFailure(const RetryState& retryState, const std::string& requestId) const
{
    const auto problem = "no controller responded within " + formatSeconds(m_options.timeout) + ", last error: " + retryState.lastError();
    if (retryState.mayHaveTakenEffect() && !requestId.empty())
        throw Error(ErrorKind::Timeout, "the change may or may not have been accepted: " + problem, "run the same command with --request-id " + requestId + ", which applies the change at most once");
    throw Error(ErrorKind::Unavailable, problem, "check that a majority of the controllers is running and that --controllers lists them");
}

schema::ChangeResponse ControllerClient::apply(const schema::ApplyRequest& request)
{
    return call(&IOperatorsChannel::apply, request, request.request_id());
}

schema::ChangeResponse ControllerClient::setZone(const schema::SetZoneRequest& request)
{
    return call(&IOperatorsChannel::setZone, request, request.request_id());
}

schema::ChangeResponse ControllerClient::drainServer(const schema::DrainServerRequest& request)
{
    return call(&IOperatorsChannel::drainServer, request, request.request_id());
}

schema::ReadConfigResponse ControllerClient::readConfig()
{
    return call(&IOperatorsChannel::readConfig, schema::ReadConfigRequest(), "");
}

schema::StatusResponse ControllerClient::status()
{
    return call(&IOperatorsChannel::status, schema::StatusRequest(), "");
}

void ControllerClient::events(std::uint64_t after, bool follow, const std::function<bool(const schema::Event&)>& onEvent)
{
    auto deadline = m_clock.now() + m_options.timeout;
    schema::EventsRequest request;
    request.set_after(after);
    request.set_follow(follow);
    bool continueStream = true;
    RetryState retryState;
    const auto onNewEvent = [&](const schema::Event& event) {
        if (event.number() <= request.after())
            return true;
        request.set_after(event.number());
        deadline = m_clock.now() + m_options.timeout;
        continueStream = onEvent(event);
        return continueStream;
    };
    for (unsigned attempt = 0; m_clock.now() < deadline; ++attempt) {
        try {
            m_channel.events(nextController(), request, onNewEvent);
            if (!continueStream || !follow)
                return;
        } catch (const Error& error) {
            retryState.record(error);
        }
        backOff(attempt);
    }
    throw Error(ErrorKind::Unavailable, "no controller sent events, last error: " + retryState.lastError(), "check that a majority of the controllers is running");
}

std::string ControllerClient::makeRequestId()
{
    constexpr int digits = 16;
    std::ostringstream id;
    id << std::hex << std::setfill('0') << std::setw(digits) << m_random.next() << std::setw(digits) << m_random.next();
    return id.str();
}

} // namespace clementinesill::operators
