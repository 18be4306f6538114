#pragma once

#include "foundation/metrics.h"
#include "foundation/types/endpoint.h"

#include <array>
#include <atomic>
#include <memory>

namespace clementinesill::fleet {
class FleetTable;
class ITableSource;
} // namespace clementinesill::fleet

namespace clementinesill::dataplane {

class IForwarder;
class PacketBatch;
enum class ForwardReason;
enum class PacketError;
struct GeneveMessage;

// What the worker threads of a balancer share. The references must outlive the workers.
struct BalancerWorkerOptions {
    // Address packets arrive at; also told to agents as where the balancer listens.
    Endpoint endpoint;
    fleet::ITableSource& tables;
    IForwarder& forwarder;
    MetricsRegistry& metrics;
};

// One thread's loop: takes batches of packets from the fabric and sends them on to agents.
class BalancerWorker {
public:
    // Binds the socket. Throws Error (AddressInUse or Network).
    explicit BalancerWorker(const BalancerWorkerOptions& options);
    ~BalancerWorker();

    // Runs until stop is set.
    void run(const std::atomic<bool>& stop);

private:
    void handle(std::size_t index, const fleet::FleetTable& table);
    void forward(std::size_t index, const GeneveMessage& message, const fleet::FleetTable& table);
    void count(ForwardReason reason);
    void count(PacketError error);

    BalancerWorkerOptions m_options;
    int m_socket = -1;
    std::unique_ptr<PacketBatch> m_batch;
    std::array<Counter*, 8> m_forwarded {};
    std::array<Counter*, 12> m_malformed {};
    Counter& m_learned;
};

} // namespace clementinesill::dataplane
