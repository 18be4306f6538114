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

// Where commands become part of the fleet's state. Used on the control thread only.
class ICommandLog {
public:
    virtual ~ICommandLog() = default;

    // Returns once the command is accepted and applied, or with the reason why that is not known or not so:
    // CODE_NOT_LEADER, CODE_NO_QUORUM or CODE_UNKNOWN.
    virtual boost::asio::awaitable<CommandResult> submit(schema::Command command) = 0;

    // Whether this controller leads and its lease is live: what it says is the newest accepted state.
    virtual bool leading() const = 0;

    // Whether this controller leads, or has heard in time from a leader whose lease is live.
    virtual bool current() const = 0;

    // Whether this controller has started so recently that its group may not have had the time to elect a leader.
    virtual bool mayBeElecting() const = 0;

    // gRPC endpoint of the leader, empty if unknown.
    virtual std::string leaderEndpoint() const = 0;

    // gRPC endpoints of the controllers that vote.
    virtual std::vector<std::string> members() const = 0;

    // Fills in this controller's part of the log, and what it knows of the others.
    virtual void describe(schema::StatusResponse& response) const = 0;
};

} // namespace clementinesill::control
