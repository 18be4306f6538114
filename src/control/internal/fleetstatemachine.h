#pragma once

#include "control/fleetstate.h"
#include "control/istatemachine.h"

#include <functional>

namespace clementinesill::control {

// Applies the entries of the replicated log to the fleet state.
class FleetStateMachine final : public IStateMachine {
public:
    // Called after each applied command with its index, its term and its result.
    using Listener = std::function<void(std::uint64_t, std::uint64_t, const CommandResult&)>;

    FleetStateMachine(FleetState& state, Listener listener)
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
