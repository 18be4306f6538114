#pragma once

#include "dataplane/types/forwarddecision.h"
#include "dataplane/types/packeterror.h"
#include "dataplane/types/senderror.h"
#include "foundation/metrics.h"

#include <array>

namespace clementinesill::dataplane {

// Counters of one worker, on separate cache lines to avoid false sharing; added to the shared metrics once per batch. Not
// thread-safe.
class alignas(64) WorkerCounters {
public:
    // The registry must outlive the counters.
    explicit WorkerCounters(MetricsRegistry& metrics);

    void count(ForwardReason reason) { ++m_decisions[static_cast<std::size_t>(reason)].pending; }
    void count(PacketError error) { ++m_packetErrors[static_cast<std::size_t>(error)].pending; }
    void count(const SendErrorCounts& errors);
    void countLearnedHolder() { ++m_learnedHolders.pending; }
    void countOversizePacket() { ++m_oversizePackets.pending; }

    // Adds the counts since the last call to the shared metrics.
    void publish();

private:
    struct BufferedCounter {
        std::uint64_t pending = 0;
        Counter* shared = nullptr;

        void publish();
    };

    std::array<BufferedCounter, forwardReasonCount> m_decisions;
    std::array<BufferedCounter, packetErrorCount> m_packetErrors;
    std::array<BufferedCounter, sendErrorCount> m_sendErrors;
    BufferedCounter m_learnedHolders;
    BufferedCounter m_oversizePackets;
};

} // namespace clementinesill::dataplane
