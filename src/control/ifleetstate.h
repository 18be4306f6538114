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

// State of the fleet as the replicated log defines it. Deterministic: the same commands in the same order give the same
// state and the same results on every controller.
class IFleetState {
public:
    virtual ~IFleetState() = default;

    // Applies one command and tells what became of it.
    virtual CommandResult apply(const schema::Command& command) = 0;

    virtual schema::FleetSnapshot snapshot() const = 0;
    virtual void restore(const schema::FleetSnapshot& snapshot) = 0;

    virtual std::uint64_t revision() const = 0;
    virtual std::uint64_t version() const = 0;

    // What a daemon that holds the version has to be told: a delta if the history reaches back so far, else the table.
    // A daemon that holds this version or a newer one is told the version in force only.
    virtual std::shared_ptr<const schema::TableUpdate> updateFrom(std::uint64_t version) const = 0;

    // Null if no server has the id.
    virtual const schema::ServerRecord* server(std::uint32_t id) const = 0;
};

} // namespace clementinesill::control
