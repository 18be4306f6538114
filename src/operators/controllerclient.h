#pragma once

#include "foundation/iclock.h"
#include "operators/types/controllerclientoptions.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace clementinesill {
class IRandom;
namespace schema {
class ApplyRequest;
class ChangeResponse;
class DrainServerRequest;
class Event;
class ReadConfigResponse;
class SetZoneRequest;
class StatusResponse;
} // namespace schema
} // namespace clementinesill

namespace clementinesill::operators {

class RetryState;
class IOperatorsChannel;

// Sends an operator's requests to the leader of the controllers: follows leader hints, tries the next controller after a
// failure, and retries a change with the same request id after a lost response, so that it is applied at most once.
// Every call throws Error: Conflict, InvalidConfiguration, NotFound, Malformed; Unavailable if the timeout expired and
// nothing was changed; Timeout if it expired and the change may or may not have been accepted.
class ControllerClient {
public:
    ControllerClient(IOperatorsChannel& channel, const IClock& clock, IRandom& random, ControllerClientOptions options);

    schema::ChangeResponse apply(const schema::ApplyRequest& request);
    schema::ChangeResponse setZone(const schema::SetZoneRequest& request);
    schema::ChangeResponse drainServer(const schema::DrainServerRequest& request);
    schema::ReadConfigResponse readConfig();
    schema::StatusResponse status();

    // Passes the events with a number greater than `after` to the handler, until it returns false. With follow, waits
    // for new events and reconnects after a failure without repeating an event.
    void events(std::uint64_t after, bool follow, const std::function<bool(const schema::Event&)>& onEvent);

    // Returns a new random id for a change.
    std::string makeRequestId();

private:
    // requestId is empty for read-only requests.
    template <typename Request, typename Response>
    Response call(Response (IOperatorsChannel::*method)(const std::string&, const Request&, std::chrono::milliseconds), const Request& request, const std::string& requestId);

    [[noreturn]] void throwFailure(const RetryState& retryState, const std::string& requestId) const;
    const std::string& nextController();
    void backOff(unsigned attempt);

    IOperatorsChannel& m_channel;
    const IClock& m_clock;
    IRandom& m_random;
    ControllerClientOptions m_options;
    std::size_t m_nextIndex = 0;
};

} // namespace clementinesill::operators
