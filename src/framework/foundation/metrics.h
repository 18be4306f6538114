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

// A count that only grows. Thread-safe.
using Counter = std::atomic<std::uint64_t>;

// The process's metrics. Thread-safe; returned references live as long as the registry.
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();

    // Name in Prometheus style without prefix, such as "packets_total". As for all kinds: throws Error (InvalidArgument) if
    // the name or a label is not valid for Prometheus, or if the name belongs to a metric of another kind.
    Counter& counter(const std::string& name, const Labels& labels = {});

    // Durations in seconds, from 10 microseconds to 100 seconds.
    Histogram& histogram(const std::string& name, const Labels& labels = {});

    // Read each time the metrics are rendered.
    void addGauge(const std::string& name, const Labels& labels, std::function<double()> read);

    // Explains a metric to people who read it; one line.
    void describe(const std::string& name, const std::string& help);

    // Calls visit for each histogram in the order of names and labels.
    void forEachHistogram(const std::function<void(const std::string&, const Labels&, const Histogram&)>& visit) const;

    // Prometheus text exposition format, with the prefix "clementinesill_".
    std::string renderPrometheus() const;

private:
    enum class Kind {
        Counter,
        Gauge,
        Histogram,
    };
    using Key = std::pair<std::string, Labels>;

    void checkKind(const std::string& name, const Labels& labels, Kind kind);
    std::string renderHead(const std::string& name) const;

    mutable std::mutex m_mutex;
    std::map<Key, std::unique_ptr<Counter>> m_counters;
    std::map<Key, std::unique_ptr<Histogram>> m_histograms;
    std::map<Key, std::function<double()>> m_gauges;
    std::map<std::string, Kind> m_kinds;
    std::map<std::string, std::string> m_help;
};

} // namespace clementinesill
