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

// Decides which update a daemon that watches the table receives, depending on the version it has.
class TableFeed {
public:
    TableFeed(const IFleetState& state, const ICommandLog& log)
        : m_state(state)
        , m_log(log)
    {
    }

    // version is the table version that the daemon has, 0 if it has no table. Only a controller that is up to date sends updates,
    // also those that confirm the daemon's version as the newest. Only a leader with a valid lease sends a first
    // table, so that a restarted daemon never receives an older table than it had before.
    FeedDecision decide(std::uint64_t version) const;

private:
    const IFleetState& m_state;
    const ICommandLog& m_log;
};

} // namespace clementinesill::control
