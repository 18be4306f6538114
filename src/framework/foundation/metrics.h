#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace clementinesill {

class Histogram;

// Label names and values of one metric, such as service and class.
using Labels = std::map<std::string, std::string>;

// Monotonically increasing counter. Thread-safe.
using Counter = std::atomic<std::uint64_t>;

// Registry of the process's metrics. Thread-safe; returned references are valid during the lifetime of the registry.
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();

    // Returns the counter with this name and these labels; creates it on first use. The name is in Prometheus style without
    // prefix, such as "packets_total". This and the functions for other kinds throw Error (InvalidArgument) if the name or
    // a label is not valid for Prometheus, or if a metric of another kind has the name.
    Counter& counter(const std::string& name, const Labels& labels = {});

    // Returns or creates a histogram of durations in seconds, with buckets from 10 microseconds to 100 seconds.
    Histogram& histogram(const std::string& name, const Labels& labels = {});

    // Adds a gauge whose value is read each time the metrics are rendered.
    void addGauge(const std::string& name, const Labels& labels, std::function<double()> read);

    // Sets the help text of a metric.
    void describe(const std::string& name, const std::string& help);

    // Calls visit for each histogram in the order of names and labels.
    void forEachHistogram(const std::function<void(const std::string&, const Labels&, const Histogram&)>& visit) const;

    // Renders all metrics in the Prometheus text exposition format, with the prefix "clementinesill_".
    std::string renderPrometheus() const;

private:
    enum class Kind {
        Counter,
        Gauge,
        Histogram,
    };
    using Key = std::pair<std::string, Labels>;

    void registerKind(const std::string& name, const Labels& labels, Kind kind);
    std::string renderHeader(const std::string& name) const;

    mutable std::mutex m_mutex;
    std::map<Key, std::unique_ptr<Counter>> m_counters;
    std::map<Key, std::unique_ptr<Histogram>> m_histograms;
    std::map<Key, std::function<double()>> m_gauges;
    std::map<std::string, Kind> m_kinds;
    std::map<std::string, std::string> m_help;
};

} // namespace clementinesill
