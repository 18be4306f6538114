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

class AttemptLog;
class IOperatorsChannel;

// Brings an operator's request to the leading controller: follows leader hints, goes on to the next controller after a
// failure, and sends a change again with the same request id after a lost answer, so that it has one effect.
// Every call throws Error: Conflict, InvalidConfiguration, NotFound; Unavailable if nothing was changed when the time was
// up; Timeout if the change may or may not be accepted.
class ControllerClient {
public:
    ControllerClient(IOperatorsChannel& channel, const IClock& clock, IRandom& random, ControllerClientOptions options);

    schema::ChangeResponse apply(const schema::ApplyRequest& request);
    schema::ChangeResponse setZone(const schema::SetZoneRequest& request);
    schema::ChangeResponse drainServer(const schema::DrainServerRequest& request);
    schema::ReadConfigResponse readConfig();
    schema::StatusResponse status();

    // Hands over events after the number given; with follow it goes on, over reconnects without repeating one, until the
    // handler returns false.
    void events(std::uint64_t after, bool follow, const std::function<bool(const schema::Event&)>& handle);

    // A new id for a change.
    std::string makeRequestId();

private:
    // requestId is empty for a request that changes nothing.
    template <typename Request, typename Response>
    Response call(Response (IOperatorsChannel::*method)(const std::string&, const Request&, std::chrono::milliseconds), const Request& request, const std::string& requestId);

    [[noreturn]] void fail(const AttemptLog& attempts, const std::string& requestId) const;
    const std::string& nextController();
    void backOff(unsigned attempt);

    IOperatorsChannel& m_channel;
    const IClock& m_clock;
    IRandom& m_random;
    ControllerClientOptions m_options;
    std::size_t m_next = 0;
};

} // namespace clementinesill::operators
