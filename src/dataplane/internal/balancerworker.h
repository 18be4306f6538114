#pragma once

#include "dataplane/internal/balancerworkeroptions.h"
#include "dataplane/internal/workercounters.h"
#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"

#include <atomic>
#include <memory>

namespace clementinesill::fleet {
class FleetTable;
class ITableSource;
} // namespace clementinesill::fleet

namespace clementinesill::dataplane {

class IForwarder;
class PacketBatch;
struct GeneveMessage;

// Event loop of one thread: receives batches of packets from the fabric and forwards them to agents.
class BalancerWorker {
public:
    // Binds the socket. Throws Error (AddressInUse or Network).
    explicit BalancerWorker(const BalancerWorkerOptions& options);
    ~BalancerWorker();
    BalancerWorker(const BalancerWorker&) = delete;
    BalancerWorker& operator=(const BalancerWorker&) = delete;

    // Runs until stop is set, then drains: continues until no more packets arrive, within the limits in the options.
    // All packets that were read are processed before it returns.
    void run(const std::atomic<bool>& stop);

    // Processes one batch and returns the number of datagrams that were read. Waits up to the receive timeout for the first.
    std::size_t processBatch();

private:
    void drain();
    void processDatagram(std::size_t index, const fleet::FleetTable& table);
    void forwardPacket(std::size_t index, const GeneveMessage& message, const fleet::FleetTable& table);

    BalancerWorkerOptions m_options;
    int m_socket = -1;
    std::unique_ptr<PacketBatch> m_batch;
    WorkerCounters m_counters;
};

} // namespace clementinesill::dataplane
