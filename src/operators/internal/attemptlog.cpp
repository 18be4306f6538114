#include "operators/internal/attemptlog.h"

#include "control.pb.h"
#include "foundation/error.h"

#include <utility>

namespace clementinesill::operators {

namespace {

// Controllers send "PROBLEM; REMEDY".
[[noreturn]] void refuse(ErrorKind kind, const std::string& message, const std::string& defaultRemedy)
{
    const auto separator = message.rfind("; ");
    if (separator == std::string::npos)
        throw Error(kind, message, defaultRemedy);
    throw Error(kind, message.substr(0, separator), message.substr(separator + 2));
}

} // namespace

bool AttemptLog::note(const schema::Outcome& outcome)
{
    m_lastProblem = outcome.message().empty() ? schema::Outcome::Code_Name(outcome.code()) : outcome.message();
    m_leaderHint = outcome.leader_hint();
    switch (outcome.code()) {
    case schema::Outcome::CODE_OK:
        return true;
    case schema::Outcome::CODE_CONFLICT:
        refuse(ErrorKind::Conflict, m_lastProblem, "look at the change that was accepted with `clementinesill events`, then run the command again");
    case schema::Outcome::CODE_INVALID:
        refuse(ErrorKind::InvalidConfiguration, m_lastProblem, "correct the request");
    case schema::Outcome::CODE_NOT_FOUND:
        refuse(ErrorKind::NotFound, m_lastProblem, "list the names with `clementinesill status`");
    case schema::Outcome::CODE_UNKNOWN:
        m_effectUnknown = true;
        return false;
    case schema::Outcome::CODE_NOT_LEADER:
    case schema::Outcome::CODE_NO_QUORUM:
        return false;
    default:
        throw Error(ErrorKind::Malformed, "the controller's answer has no outcome", "use the same release of clementinesill on both sides");
    }
}

void AttemptLog::note(const Error& error)
{
    m_leaderHint.clear();
    m_lastProblem = error.problem();
    if (error.kind() == ErrorKind::Unavailable)
        return;
    if (error.kind() != ErrorKind::Network)
        throw Error(error);
    m_effectUnknown = true;
}

std::string AttemptLog::takeLeaderHint()
{
    return std::exchange(m_leaderHint, {});
}

} // namespace clementinesill::operators
