#include "control/internal/fleetmachine.h"

#include "foundation/error.h"

namespace clementinesill::control {

namespace {

[[noreturn]] void unreadable(const std::string& what)
{
    throw Error(ErrorKind::Malformed, what + " cannot be read", "run the same version of the program on all controllers");
}

} // namespace

void FleetMachine::apply(const schema::LogEntry& entry)
{
    schema::Command command;
    if (!command.ParseFromString(entry.command()))
        unreadable("entry " + std::to_string(entry.index()));
    const auto result = m_state.apply(command);
    m_listener(entry.index(), entry.term(), result);
}

std::string FleetMachine::snapshot() const
{
    return m_state.snapshot().SerializeAsString();
}

void FleetMachine::restore(std::string_view snapshot)
{
    schema::FleetSnapshot parsed;
    if (!parsed.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
        unreadable("the snapshot");
    m_state.restore(parsed);
}

} // namespace clementinesill::control
