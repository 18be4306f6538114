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

// One thread's loop: takes batches of packets from the fabric and sends them on to agents.
class BalancerWorker {
public:
    // Binds the socket. Throws Error (AddressInUse or Network).
    explicit BalancerWorker(const BalancerWorkerOptions& options);
    ~BalancerWorker();
    BalancerWorker(const BalancerWorker&) = delete;
    BalancerWorker& operator=(const BalancerWorker&) = delete;

    // Runs until stop is set, then drains: goes on until the fabric sends nothing more, as the options bound it.
    // A packet that was read is always sent on.
    void run(const std::atomic<bool>& stop);

    // One turn of run: returns how many datagrams were read; waits as long as the receive timeout for the first one.
    std::size_t serveBatch();

private:
    void drain();
    void handle(std::size_t index, const fleet::FleetTable& table);
    void forward(std::size_t index, const GeneveMessage& message, const fleet::FleetTable& table);

    BalancerWorkerOptions m_options;
    int m_socket = -1;
    std::unique_ptr<PacketBatch> m_batch;
    WorkerCounters m_counters;
};

} // namespace clementinesill::dataplane
