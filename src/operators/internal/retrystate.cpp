#include "operators/internal/retrystate.h"

#include "control.pb.h"
#include "foundation/error.h"

#include <utility>

namespace clementinesill::operators {

namespace {

// Controllers send messages of the form "PROBLEM; REMEDY".
[[noreturn]] void throwRejection(ErrorKind kind, const std::string& message, const std::string& defaultRemedy)
{
    const auto separator = message.rfind("; ");
    if (separator == std::string::npos)
        throw Error(kind, message, defaultRemedy);
    throw Error(kind, message.substr(0, separator), message.substr(separator + 2));
}

} // namespace

bool RetryState::record(const schema::Outcome& outcome)
{
    m_lastError = outcome.message().empty() ? schema::Outcome::Code_Name(outcome.code()) : outcome.message();
    m_leaderHint = outcome.leader_hint();
    switch (outcome.code()) {
    case schema::Outcome::CODE_OK:
        return true;
    case schema::Outcome::CODE_CONFLICT:
        throwRejection(ErrorKind::Conflict, m_lastError, "check the accepted change with `clementinesill events`, then run the command again");
    case schema::Outcome::CODE_INVALID:
        throwRejection(ErrorKind::InvalidConfiguration, m_lastError, "correct the request");
    case schema::Outcome::CODE_NOT_FOUND:
        throwRejection(ErrorKind::NotFound, m_lastError, "list the names with `clementinesill status`");
    case schema::Outcome::CODE_UNKNOWN:
        m_mayHaveTakenEffect = true;
        return false;
    case schema::Outcome::CODE_NOT_LEADER:
    case schema::Outcome::CODE_NO_QUORUM:
        return false;
    default:
        throw Error(ErrorKind::Malformed, "the controller's response has no outcome", "run the same release of clementinesill on the client and the controllers");
    }
}

void RetryState::record(const Error& error)
{
    m_leaderHint.clear();
    m_lastError = error.problem();
    if (error.kind() == ErrorKind::Unavailable)
        return;
    if (error.kind() != ErrorKind::Network)
        throw Error(error);
    m_mayHaveTakenEffect = true;
}

std::string RetryState::takeLeaderHint()
{
    return std::exchange(m_leaderHint, {});
}

} // namespace clementinesill::operators
