#pragma once

#include "dataplane/types/forwarddecision.h"
#include "dataplane/types/packeterror.h"
#include "dataplane/types/senderror.h"
#include "foundation/metrics.h"

#include <array>

namespace clementinesill::dataplane {

// Counts of one worker: kept on cache lines of its own, and added to the shared metrics once a batch.
// Confined to the worker's thread.
class alignas(64) WorkerCounters {
public:
    // The registry must outlive the counters.
    explicit WorkerCounters(MetricsRegistry& metrics);

    void count(ForwardReason reason) { ++m_forwarded[static_cast<std::size_t>(reason)].pending; }
    void count(PacketError error) { ++m_malformed[static_cast<std::size_t>(error)].pending; }
    void count(const SendErrorCounts& errors);
    void countLearned() { ++m_learned.pending; }
    void countOversize() { ++m_oversize.pending; }

    // Adds what was counted since the last call to the shared metrics.
    void publish();

private:
    struct Count {
        std::uint64_t pending = 0;
        Counter* shared = nullptr;

        void publish();
    };

    std::array<Count, forwardReasons> m_forwarded;
    std::array<Count, packetErrors> m_malformed;
    std::array<Count, sendErrors> m_unsent;
    Count m_learned;
    Count m_oversize;
};

} // namespace clementinesill::dataplane
