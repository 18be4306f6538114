#pragma once

#include "foundation/iclock.h"

#include <functional>
#include <string>
#include <vector>

namespace clementinesill {
class IRandom;
}

namespace clementinesill::fleet {

// Chooses the controller to ask next and how long to wait before. Not thread-safe.
class ControllerChoice {
public:
    // Starts at a random controller, so that daemons spread. endpoints must not be empty.
    ControllerChoice(std::vector<std::string> endpoints, IRandom& random);

    const std::string& current() const { return m_endpoints[m_current]; }

    // Longest wait before the next controller is asked; 2 s at first.
    void setLongestBackoff(Duration longest) { m_longestBackoff = longest; }

    // Asks these controllers from now on; the current one stays current if it is among them. endpoints must not be empty.
    void replaceEndpoints(std::vector<std::string> endpoints);

    // Moves to the first controller, from the current one on, for which reached says so; false if there is none.
    bool prefer(const std::function<bool(const std::string&)>& reached);

    // The current controller answered: the next failure starts with the shortest wait again.
    void succeeded()
    {
        m_failures = 0;
        m_followed = false;
    }

    // The current controller failed: moves to the next one. Returns the wait before it is asked, jittered between half
    // and all of a bound that doubles with each failure in a row.
    Duration failed();

    // The current controller named the leader: moves there, or to the next if the hint is empty or not among the endpoints.
    // Returns the wait, which is none for the first hint in a row.
    Duration follow(const std::string& hint);

private:
    Duration backoff();

    std::vector<std::string> m_endpoints;
    IRandom& m_random;
    std::size_t m_current = 0;
    int m_failures = 0;
    Duration m_longestBackoff = std::chrono::milliseconds(2000);
    // Whether the current controller was named by the one before.
    bool m_followed = false;
};

} // namespace clementinesill::fleet
