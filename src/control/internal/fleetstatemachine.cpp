#include "control/internal/fleetstatemachine.h"

#include "foundation/error.h"

namespace clementinesill::control {

namespace {

[[noreturn]] void throwMalformed(const std::string& subject)
{
    throw Error(ErrorKind::Malformed, subject + " cannot be parsed", "run the same version of the program on all controllers");
}

} // namespace

void FleetStateMachine::apply(const schema::LogEntry& entry)
{
    schema::Command command;
    if (!command.ParseFromString(entry.command()))
        throwMalformed("entry " + std::to_string(entry.index()));
    const auto result = m_state.apply(command);
    m_listener(entry.index(), entry.term(), result);
}

std::string FleetStateMachine::snapshot() const
{
    return m_state.snapshot().SerializeAsString();
}

void FleetStateMachine::restore(std::string_view snapshot)
{
    schema::FleetSnapshot parsed;
    if (!parsed.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
        throwMalformed("the snapshot");
    m_state.restore(parsed);
}

} // namespace clementinesill::control
