#pragma once

#include "fleet/types/registration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementinesill::schema {
class RenewRequest;
class ServerAnnouncement;
} // namespace clementinesill::schema

namespace clementinesill::fleet {

class ITableSource;

// A daemon's link to the controllers: keeps the table current and a server registered, over reconnects.
class IFleetClient {
public:
    virtual ~IFleetClient() = default;

    // Starts to watch the table in the background.
    virtual void start() = 0;
    virtual void stop() = 0;

    virtual ITableSource& tables() = 0;

    // Waits until the controllers have accepted the announcement. Throws Error: Unavailable after a time, InvalidArgument
    // if the announcement is refused.
    virtual Registration registerServer(const schema::ServerAnnouncement& announcement) = 0;

    // Renews the lease once; false if the registration is gone and must be made again.
    virtual bool renew(const schema::RenewRequest& request) = 0;

    // Marks the server as draining, or removes it.
    virtual void leave(const Registration& registration, bool draining) = 0;

    // Ends the calls that are in progress on other threads with Error (Unavailable), within a second.
    virtual void interruptCalls() = 0;
};

} // namespace clementinesill::fleet
