#pragma once

#include <string>

namespace clementinesill {
namespace schema {
class Outcome;
}
class Error;
} // namespace clementinesill

namespace clementinesill::operators {

// What the attempts of one call have shown so far: where to go next, and whether the request may have had an effect.
class AttemptLog {
public:
    // True if the outcome is final and good; false if another attempt is due.
    // Throws Error (Conflict, InvalidConfiguration, NotFound or Malformed) if it is final and bad.
    bool note(const schema::Outcome& outcome);

    // Throws the error again unless another attempt is due.
    void note(const Error& error);

    // Controller the last answer named as leader; empty if none. Read once.
    std::string takeLeaderHint();

    // Whether an attempt was sent whose effect is unknown.
    bool effectUnknown() const { return m_effectUnknown; }

    // What the last attempt failed with.
    const std::string& lastProblem() const { return m_lastProblem; }

private:
    bool m_effectUnknown = false;
    std::string m_leaderHint;
    std::string m_lastProblem = "no attempt was made";
};

} // namespace clementinesill::operators
