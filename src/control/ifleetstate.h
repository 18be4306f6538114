#pragma once

#include "control/types/commandresult.h"

#include <cstdint>
#include <memory>

namespace clementinesill::schema {
class Command;
class FleetSnapshot;
class ServerRecord;
class TableUpdate;
} // namespace clementinesill::schema

namespace clementinesill::control {

// State of the fleet, replicated by the log. Deterministic: the same commands in the same order produce the same state and
// the same results on every controller.
class IFleetState {
public:
    virtual ~IFleetState() = default;

    // Applies one command and returns its result.
    virtual CommandResult apply(const schema::Command& command) = 0;

    virtual schema::FleetSnapshot snapshot() const = 0;
    virtual void restore(const schema::FleetSnapshot& snapshot) = 0;

    // Revision of the operators' configuration.
    virtual std::uint64_t revision() const = 0;
    // Version of the table.
    virtual std::uint64_t version() const = 0;

    // Update for a daemon that has the given table version: a delta if the history contains all changes since that version,
    // otherwise the whole table. Contains only the current version if the daemon has that version or a newer one.
    virtual std::shared_ptr<const schema::TableUpdate> updateFrom(std::uint64_t version) const = 0;

    // Null if no server has the id.
    virtual const schema::ServerRecord* server(std::uint32_t id) const = 0;
};

} // namespace clementinesill::control
