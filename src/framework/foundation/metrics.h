#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace clementinesill {

class Histogram;

// Label names and values of one metric, such as service and class.
using Labels = std::map<std::string, std::string>;

// A count that only grows. Thread-safe.
using Counter = std::atomic<std::uint64_t>;

// The process's metrics. Thread-safe; returned references live as long as the registry.
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();

    // Name in Prometheus style without prefix, such as "packets_total".
    Counter& counter(const std::string& name, const Labels& labels = {});

    // Durations in seconds, from 10 microseconds to 100 seconds.
    Histogram& histogram(const std::string& name, const Labels& labels = {});

    // Read each time the metrics are rendered.
    void addGauge(const std::string& name, const Labels& labels, std::function<double()> read);

    // Prometheus text exposition format.
    std::string renderPrometheus() const;

private:
    struct Gauge {
        std::string name;
        Labels labels;
        std::function<double()> read;
    };
    using Key = std::pair<std::string, Labels>;

    mutable std::mutex m_mutex;
    std::map<Key, std::unique_ptr<Counter>> m_counters;
    std::map<Key, std::unique_ptr<Histogram>> m_histograms;
    std::vector<Gauge> m_gauges;
};

} // namespace clementinesill
