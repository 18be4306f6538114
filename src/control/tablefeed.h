#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace clementinesill::schema {
class TableUpdate;
}

namespace clementinesill::control {

class ICommandLog;
class IFleetState;

// What to tell a daemon that watches the table.
struct FeedDecision {
    enum class Action {
        Send,
        // Nothing to tell yet: this controller is behind the daemon.
        Wait,
        // The daemon is to ask another controller; reason tells why.
        Refuse,
    };

    Action action = Action::Wait;
    std::shared_ptr<const schema::TableUpdate> update;
    // Version the daemon holds once it has the update.
    std::uint64_t version = 0;
    std::string reason;
};

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
