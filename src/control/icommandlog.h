#pragma once

#include "control/types/commandresult.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace clementinesill::schema {
class Command;
class StatusResponse;
} // namespace clementinesill::schema

namespace clementinesill::control {

// Commits commands and applies them to the fleet state. Used on the control thread only.
class ICommandLog {
public:
    virtual ~ICommandLog() = default;

    // Returns once the command is committed and applied. Otherwise returns CODE_NOT_LEADER or CODE_NO_QUORUM if it was
    // rejected, or CODE_UNKNOWN if its outcome is not known.
    virtual boost::asio::awaitable<CommandResult> submit(schema::Command command) = 0;

    // Whether this controller is the leader and holds a valid lease, so that its state is the newest committed one.
    virtual bool hasValidLease() const = 0;

    // Whether this controller is the leader, or heard from a leader with a valid lease within the lease duration.
    virtual bool hasLeader() const = 0;

    // Whether this controller is the leader with a valid lease, or had applied, within the lease duration, everything that such a
    // leader had committed.
    virtual bool isUpToDate() const = 0;

    // Whether this controller has had no leader since its start and started so recently that its group may still be electing
    // one.
    virtual bool mayBeElectingFirstLeader() const = 0;

    // gRPC endpoint of the leader, empty if unknown.
    virtual std::string leaderEndpoint() const = 0;

    // gRPC endpoints of the voting members.
    virtual std::vector<std::string> memberEndpoints() const = 0;

    // Fills in the state of this controller's log and what is known about the other controllers.
    virtual void fillStatus(schema::StatusResponse& response) const = 0;
};

} // namespace clementinesill::control
