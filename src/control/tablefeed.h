#pragma once

#include "control/types/feeddecision.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementinesill::schema {
class TableUpdate;
}

namespace clementinesill::control {

class ICommandLog;
class IFleetState;

// Decides for each watching daemon what it is told, by the version it holds.
class TableFeed {
public:
    TableFeed(const IFleetState& state, const ICommandLog& log)
        : m_state(state)
        , m_log(log)
    {
    }

    // held is 0 for a daemon that has no table yet: its first table comes from a leader with a live lease only, so that a
    // restarted daemon never gets an older one than it had.
    FeedDecision next(std::uint64_t held) const;

private:
    const IFleetState& m_state;
    const ICommandLog& m_log;
};

} // namespace clementinesill::control
