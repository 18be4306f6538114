#pragma once

#include <string>

namespace clementinesill {
namespace schema {
class Outcome;
}
class Error;
} // namespace clementinesill

namespace clementinesill::operators {

// Results of the attempts of one call so far: which controller to try next, and whether the request may have taken
// effect.
class RetryState {
public:
    // Returns true if the request succeeded and false if it should be retried.
    // Throws Error (Conflict, InvalidConfiguration, NotFound or Malformed) if a retry cannot help.
    bool record(const schema::Outcome& outcome);

    // Rethrows the error unless the request should be retried.
    void record(const Error& error);

    // Returns and clears the leader named by the last response; empty if none.
    std::string takeLeaderHint();

    // Whether the effect of any attempt is unknown.
    bool mayHaveTakenEffect() const { return m_mayHaveTakenEffect; }

    // Error of the last attempt.
    const std::string& lastError() const { return m_lastError; }

private:
    bool m_mayHaveTakenEffect = false;
    std::string m_leaderHint;
    std::string m_lastError = "no attempt was made";
};

} // namespace clementinesill::operators
