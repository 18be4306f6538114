#include "foundation/metrics.h"

#include "foundation/histogram.h"

#include <cmath>
#include <sstream>

namespace clementinesill {

namespace {

constexpr auto prefix = "clementinesill_";

std::string escape(const std::string& value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '"' || character == '\\')
            escaped += '\\';
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

std::string render(const Labels& labels)
{
    if (labels.empty())
        return {};
    std::string text = "{";
    for (const auto& [key, value] : labels) {
        if (text.size() > 1)
            text += ",";
        text.append(key).append("=\"").append(escape(value)).append("\"");
    }
    return text + "}";
}

void renderHistogram(std::ostream& out, const std::string& name, const Labels& labels, const Histogram& histogram)
{
    std::uint64_t cumulative = 0;
    for (const auto& bucket : histogram.buckets()) {
        cumulative += bucket.count;
        auto bounded = labels;
        std::ostringstream bound;
        bound << bucket.upper;
        bounded["le"] = std::isinf(bucket.upper) ? "+Inf" : bound.str();
        out << prefix << name << "_bucket" << render(bounded) << ' ' << cumulative << '\n';
    }
    out << prefix << name << "_sum" << render(labels) << ' ' << histogram.sum() << '\n';
    out << prefix << name << "_count" << render(labels) << ' ' << histogram.count() << '\n';
}

} // namespace

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::counter(const std::string& name, const Labels& labels)
{
    const std::lock_guard lock(m_mutex);
    auto& slot = m_counters[{ name, labels }];
    if (!slot)
        slot = std::make_unique<Counter>(0);
    return *slot;
}

Histogram& MetricsRegistry::histogram(const std::string& name, const Labels& labels)
{
    const std::lock_guard lock(m_mutex);
    auto& slot = m_histograms[{ name, labels }];
    if (!slot)
        slot = std::make_unique<Histogram>();
    return *slot;
}

void MetricsRegistry::addGauge(const std::string& name, const Labels& labels, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges.push_back({ name, labels, std::move(read) });
}

std::string MetricsRegistry::renderPrometheus() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    for (const auto& [key, counter] : m_counters)
        out << prefix << key.first << render(key.second) << ' ' << counter->load() << '\n';
    for (const auto& gauge : m_gauges)
        out << prefix << gauge.name << render(gauge.labels) << ' ' << gauge.read() << '\n';
    for (const auto& [key, histogram] : m_histograms)
        renderHistogram(out, key.first, key.second, *histogram);
    return out.str();
}

} // namespace clementinesill
