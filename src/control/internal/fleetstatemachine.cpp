#include "control/internal/fleetstatemachine.h"

#include "foundation/error.h"
#include "foundation/log.h"

namespace clementinesill::control {

void FleetStateMachine::apply(const schema::LogEntry& entry)
{
    schema::Command command;
    if (command.ParseFromString(entry.command())) {
        m_listener(entry.index(), entry.term(), m_state.apply(command));
        return;
    }
    // Every controller skips the same entries, so their states stay the same; a controller that ended here would end at each start.
    log(LogLevel::Error, "entry_ignored", { { .key = "index", .value = std::to_string(entry.index()) }, { .key = logkey::reason, .value = "it cannot be parsed" } });
    m_listener(entry.index(), entry.term(), { .code = schema::Outcome::CODE_INVALID, .message = "the change cannot be parsed; use UTF-8 in all names" });
}

std::string FleetStateMachine::snapshot() const
{
    return m_state.snapshot().SerializeAsString();
}

void FleetStateMachine::restore(std::string_view snapshot)
{
    schema::FleetSnapshot parsed;
    if (!parsed.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
        throw Error(ErrorKind::Malformed, "the snapshot cannot be parsed", "run the same version of the program on all controllers");
    m_state.restore(parsed);
}

} // namespace clementinesill::control
