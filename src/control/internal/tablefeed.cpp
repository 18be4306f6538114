#include "control/tablefeed.h"

#include "control/icommandlog.h"
#include "control/ifleetstate.h"

namespace clementinesill::control {

FeedDecision TableFeed::next(std::uint64_t held) const
{
    if (!m_log.hasLeader() && m_log.mayBeElecting())
        return { .action = FeedDecision::Action::Wait, .reason = "this controller's group elects a leader" };
    if (!m_log.hasLeader())
        return { .action = FeedDecision::Action::Refuse, .reason = "this controller has no live lease; ask another one" };
    if (!held && !m_log.isLeader())
        return { .action = FeedDecision::Action::Refuse, .reason = "a first table comes from the leader; ask it" };
    if (held > m_state.version()) {
        if (m_log.isLeader())
            return { .action = FeedDecision::Action::Refuse, .reason = "the daemon holds a newer table than the leader; look for a second group of controllers" };
        return { .action = FeedDecision::Action::Wait, .version = held, .reason = "this controller is behind the daemon" };
    }
    if (!m_state.version())
        return { .action = FeedDecision::Action::Wait, .reason = "the fleet is not founded yet" };
    return { .action = FeedDecision::Action::Send, .update = m_state.updateFrom(held), .version = m_state.version() };
}

} // namespace clementinesill::control
