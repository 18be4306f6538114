#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace clementinesill::schema {
class ApplyRequest;
class ChangeResponse;
class DrainServerRequest;
class Event;
class EventsRequest;
class ReadConfigRequest;
class ReadConfigResponse;
class SetZoneRequest;
class StatusRequest;
class StatusResponse;
} // namespace clementinesill::schema

namespace clementinesill::operators {

// One attempt at one controller; policy is left to the caller.
// Every call throws Error: Unavailable if the controller was never reached, so the request was not sent; Network if the
// answer was lost, so the request may have been served.
class IOperatorsChannel {
public:
    virtual ~IOperatorsChannel() = default;

    virtual schema::ChangeResponse apply(const std::string& controller, const schema::ApplyRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::ChangeResponse setZone(const std::string& controller, const schema::SetZoneRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::ChangeResponse drainServer(const std::string& controller, const schema::DrainServerRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::ReadConfigResponse readConfig(const std::string& controller, const schema::ReadConfigRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::StatusResponse status(const std::string& controller, const schema::StatusRequest& request, std::chrono::milliseconds timeout) = 0;

    // Hands over events until the stream ends, or until the handler returns false.
    virtual void events(const std::string& controller, const schema::EventsRequest& request, const std::function<bool(const schema::Event&)>& handle) = 0;
};

} // namespace clementinesill::operators
