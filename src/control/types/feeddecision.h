#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace clementinesill::schema {
class TableUpdate;
}

namespace clementinesill::control {

// What to tell a daemon that watches the table.
struct FeedDecision {
    enum class Action {
        Send,
        // Nothing to tell yet: this controller is behind the daemon, or waits for its group's first leader.
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

} // namespace clementinesill::control
