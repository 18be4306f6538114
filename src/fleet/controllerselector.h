#pragma once

#include "foundation/iclock.h"

#include <functional>
#include <string>
#include <vector>

namespace clementinesill {
class IRandom;
}

namespace clementinesill::fleet {

// Selects the controller for the next call and the backoff before it. Not thread-safe.
class ControllerSelector {
public:
    // Starts with a random controller, so that the daemons spread over all of them. endpoints must not be empty.
    ControllerSelector(std::vector<std::string> endpoints, IRandom& random);

    const std::string& current() const { return m_endpoints[m_current]; }

    // Sets the maximum backoff; the default is 2 s.
    void setMaximumBackoff(Duration maximum) { m_maximumBackoff = maximum; }

    // Replaces the list of controllers; the current one remains selected if it is in the new list. endpoints must not be
    // empty.
    void replaceEndpoints(std::vector<std::string> endpoints);

    // Selects the first controller, starting at the current one, that satisfies the predicate; false if there is none.
    bool selectIf(const std::function<bool(const std::string&)>& predicate);

    // Resets the backoff after a successful call.
    void onSuccess()
    {
        m_doublings = 0;
        m_selectedByHint = false;
    }

    // Selects the next controller after a failed call. Returns the backoff, which is random between half and all of a bound.
    // The bound doubles with each consecutive backoff, up to the maximum backoff.
    Duration onFailure();

    // Selects the leader that the current controller named, or the next controller if the hint is empty, unknown or the
    // current controller. Returns the backoff, which is zero if the hint is used and the previous controller was not selected
    // by a hint.
    Duration onLeaderHint(const std::string& hint);

private:
    Duration backoff();

    std::vector<std::string> m_endpoints;
    IRandom& m_random;
    std::size_t m_current = 0;
    // Number of times that the bound of the backoff has doubled since the last successful call.
    int m_doublings = 0;
    Duration m_maximumBackoff = std::chrono::milliseconds(2000);
    // Whether the current controller was selected by a leader hint.
    bool m_selectedByHint = false;
};

} // namespace clementinesill::fleet
