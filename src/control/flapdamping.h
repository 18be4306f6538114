#pragma once

#include "control/types/flapdampingoptions.h"
#include "foundation/iclock.h"
#include "log.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace clementinesill::control {

class ServerRegistry;

// Keeps new flows away from servers that come and go too often. A flap is a new start, a return from silence or a return
// to the table. Soft state of the leader.
class FlapDamping {
public:
    FlapDamping(const IClock& clock, const FlapDampingOptions& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    // Forgets everything but which servers the log says are damped; called when this controller starts to lead.
    void restart() { m_histories.clear(); }

    // Transitions that are due now. At most a third of a service's servers are damped at the same time.
    std::vector<schema::ServerTransition> due(const ServerRegistry& servers);

private:
    struct History {
        double penalty = 0;
        MonotonicTime updated;
        std::uint32_t incarnation = 0;
        bool away = false;
    };

    // Servers of one service.
    struct Share {
        std::size_t live = 0;
        std::size_t damped = 0;
    };

    History& update(const schema::ServerRecord& record);

    const IClock& m_clock;
    FlapDampingOptions m_options;
    std::map<std::uint32_t, History> m_histories;
};

} // namespace clementinesill::control
