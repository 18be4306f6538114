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

// Sends each request to one controller once, without retries.
// Every call throws Error: Unavailable if no connection was established, so the request was not sent; Network if the
// response was lost, so the request may have been executed.
class IOperatorsChannel {
public:
    virtual ~IOperatorsChannel() = default;

    virtual schema::ChangeResponse apply(const std::string& controller, const schema::ApplyRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::ChangeResponse setZone(const std::string& controller, const schema::SetZoneRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::ChangeResponse drainServer(const std::string& controller, const schema::DrainServerRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::ReadConfigResponse readConfig(const std::string& controller, const schema::ReadConfigRequest& request, std::chrono::milliseconds timeout) = 0;
    virtual schema::StatusResponse status(const std::string& controller, const schema::StatusRequest& request, std::chrono::milliseconds timeout) = 0;

    // Passes events to the handler until the stream ends or the handler returns false.
    virtual void events(const std::string& controller, const schema::EventsRequest& request, const std::function<bool(const schema::Event&)>& onEvent) = 0;
};

} // namespace clementinesill::operators
