#include "control/tablefeed.h"

#include "control/icommandlog.h"
#include "control/ifleetstate.h"

namespace clementinesill::control {

FeedDecision TableFeed::decide(std::uint64_t version) const
{
    if (!m_log.hasLeader() && m_log.mayBeElectingFirstLeader())
        return { .action = FeedDecision::Action::Wait, .reason = "the group of this controller is electing a leader" };
    if (!m_log.hasLeader())
        return { .action = FeedDecision::Action::Reject, .reason = "this controller has no contact with a leader that holds a valid lease; connect to another one" };
    if (!version && !m_log.hasValidLease())
        return { .action = FeedDecision::Action::Reject, .reason = "only the leader sends a first table; connect to the leader" };
    if (!m_log.isUpToDate())
        return { .action = FeedDecision::Action::Reject, .reason = "this controller lacks changes that the leader has committed; connect to the leader" };
    if (version > m_state.version()) {
        if (m_log.hasValidLease())
            return { .action = FeedDecision::Action::Reject, .reason = "the daemon has a newer table than the leader; check whether a second group of controllers exists" };
        return { .action = FeedDecision::Action::Wait, .version = version, .reason = "this controller is behind the daemon" };
    }
    if (!m_state.version())
        return { .action = FeedDecision::Action::Wait, .reason = "the fleet is not initialized yet" };
    return { .action = FeedDecision::Action::Send, .update = m_state.updateFrom(version), .version = m_state.version() };
}

} // namespace clementinesill::control
