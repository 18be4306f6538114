#pragma once

#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"

#include <chrono>
#include <cstddef>

namespace clementinesill {
class IClock;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::fleet {
class ITableSource;
}

namespace clementinesill::dataplane {

class IForwarder;

// Shared by the worker threads of a balancer. The references must outlive the workers.
struct BalancerWorkerOptions {
    // Endpoint that the worker receives packets on. Also set as balancer in the route of each packet, so that agents can send
    // notifications to it.
    Endpoint endpoint;
    fleet::ITableSource& tables;
    IForwarder& forwarder;
    MetricsRegistry& metrics;
    const IClock& clock;
    // MTU of the path to the agents. Larger IP datagrams are sent in fragments and counted.
    std::size_t pathMtuBytes = 1500;
    // While draining: number of consecutive reads without a datagram, each as long as the receive timeout, after which the
    // worker returns.
    unsigned drainIdleReads = 10;
    // Maximum duration of draining while packets keep arriving.
    Duration drainTimeout = std::chrono::seconds(5);
};

} // namespace clementinesill::dataplane
