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

// What the worker threads of a balancer share. The references must outlive the workers.
struct BalancerWorkerOptions {
    // Address packets arrive at; also told to agents as where the balancer listens.
    Endpoint endpoint;
    fleet::ITableSource& tables;
    IForwarder& forwarder;
    MetricsRegistry& metrics;
    const IClock& clock;
    // Largest IP datagram that the path to the agents carries whole, in bytes; larger ones are sent in fragments and counted.
    std::size_t pathBytes = 1500;
    // Reads in a row that found nothing, each as long as the receive timeout, before a stopped worker ends.
    unsigned quietReads = 10;
    // Longest time that a stopped worker goes on while packets keep coming.
    Duration drainLimit = std::chrono::seconds(5);
};

} // namespace clementinesill::dataplane
