#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace clementinesill::schema {
class TableUpdate;
}

namespace clementinesill::control {

// Decision about the next message to a daemon that watches the table.
struct FeedDecision {
    enum class Action {
        Send,
        // There is no update yet: this controller is behind the daemon, the group is electing its first leader or the fleet is not
        // initialized.
        Wait,
        // Ends the stream, so that the daemon connects to another controller.
        Reject,
    };

    Action action = Action::Wait;
    std::shared_ptr<const schema::TableUpdate> update;
    // Version that the daemon has after the update.
    std::uint64_t version = 0;
    // Why there is no update; empty for Send.
    std::string reason;
};

} // namespace clementinesill::control
