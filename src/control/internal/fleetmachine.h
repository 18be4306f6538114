#pragma once

#include "control/fleetstate.h"
#include "control/istatemachine.h"

#include <functional>

namespace clementinesill::control {

// Puts the fleet's state behind the replicated log.
class FleetMachine final : public IStateMachine {
public:
    // Told of each command applied: its index, its term, and what became of it.
    using Listener = std::function<void(std::uint64_t, std::uint64_t, const CommandResult&)>;

    FleetMachine(FleetState& state, Listener listener)
        : m_state(state)
        , m_listener(std::move(listener))
    {
    }

    void apply(const schema::LogEntry& entry) override;
    std::string snapshot() const override;
    void restore(std::string_view snapshot) override;

private:
    FleetState& m_state;
    Listener m_listener;
};

} // namespace clementinesill::control
