#pragma once

#include "control/types/flapdampingoptions.h"
#include "foundation/iclock.h"
#include "log.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace clementinesill::control {

class ServerRegistry;

// Flap damping for servers: a server whose availability changes too often receives no new flows until an exponentially
// decaying penalty falls below a threshold. A flap is a restart of the agent, a return from silence or a return to the
// table. The penalties are not replicated; only the leader has them.
class FlapDamping {
public:
    FlapDamping(const IClock& clock, const FlapDampingOptions& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    // Clears all penalties; servers that are damped in the replicated state start again at the suppress threshold. Called
    // when this controller becomes leader.
    void reset() { m_histories.clear(); }

    // Returns the transitions to submit now. At most a third of the servers of a service are damped at the same time.
    std::vector<schema::ServerTransition> dueTransitions(const ServerRegistry& servers);

private:
    struct History {
        double penalty = 0;
        MonotonicTime updated;
        std::uint32_t incarnation = 0;
        bool unavailable = false;
    };

    // Numbers of servers of one service that are in the table.
    struct ServerCounts {
        std::size_t total = 0;
        std::size_t damped = 0;
    };

    History& updateHistory(const schema::ServerRecord& record);

    const IClock& m_clock;
    FlapDampingOptions m_options;
    std::map<std::uint32_t, History> m_histories;
};

} // namespace clementinesill::control
