#pragma once

#include "fleet/types/registration.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementinesill::schema {
class RenewRequest;
class ServerAnnouncement;
} // namespace clementinesill::schema

namespace clementinesill::fleet {

class ITableSource;

// A daemon's client of the controllers: keeps the fleet table up to date and a server registered, and reconnects after
// failures.
class IFleetClient {
public:
    virtual ~IFleetClient() = default;

    // Starts to watch the fleet table in the background.
    virtual void start() = 0;
    virtual void stop() = 0;

    virtual ITableSource& tables() = 0;

    // Blocks until the controllers accept the announcement. Throws Error: Unavailable after the timeout or if interrupted,
    // Conflict if a later start of the server has replaced the announced one, InvalidArgument if the announcement is rejected
    // otherwise.
    virtual Registration registerServer(const schema::ServerAnnouncement& announcement, Duration timeout) = 0;

    // Renews the lease once; false if the controllers no longer have the registration and the server must register again.
    // Throws Error (Unavailable) after 3 s or if interrupted.
    virtual bool renew(const schema::RenewRequest& request) = 0;

    // Marks the server as draining if `draining`, otherwise removes it. Throws Error (Unavailable) after 5 s or if
    // interrupted.
    virtual void leave(const Registration& registration, bool draining) = 0;

    // Ends the stream of table updates and opens one to another controller at once, unless the table has at least this version.
    // Called when a peer acts by a newer table, since the controller of this stream may be silent.
    virtual void leaveStaleController(std::uint64_t newerVersion) = 0;

    // Makes calls in progress on other threads throw Error (Unavailable) within a second.
    virtual void interruptCalls() = 0;
};

} // namespace clementinesill::fleet
