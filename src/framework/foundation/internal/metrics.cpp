#include "foundation/metrics.h"

#include "foundation/error.h"
#include "foundation/histogram.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace clementinesill {

namespace {

constexpr std::string_view prefix = "clementinesill_";

// Applies to metric names and label names. Colons are not allowed because Prometheus reserves them for recording rules.
bool isValidName(std::string_view name)
{
    const auto isLetter = [](char character) { return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || character == '_'; };
    const auto isValid = [&](char character) { return isLetter(character) || (character >= '0' && character <= '9'); };
    return !name.empty() && isLetter(name.front()) && std::ranges::all_of(name, isValid);
}

std::string escape(std::string_view text, bool quotes)
{
    std::string escaped;
    for (const char character : text) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '\\' || (quotes && character == '"'))
            escaped += '\\';
        escaped += character;
    }
    return escaped;
}

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return { text.data(), end };
}

std::string render(const Labels& labels)
{
    std::string text;
    for (const auto& [key, value] : labels)
        text.append(text.empty() ? "" : ",").append(key).append("=\"").append(escape(value, true)).append("\"");
    return text.empty() ? text : "{" + text + "}";
}

std::string renderSample(const std::string& name, const Labels& labels, const std::string& value)
{
    std::string line(prefix);
    return line.append(name).append(render(labels)).append(" ").append(value).append("\n");
}

// The count is computed from the same snapshot of the buckets, so that it equals the last bucket even if values are recorded
// meanwhile.
std::string render(const std::string& name, const Labels& labels, const Histogram& histogram)
{
    std::string text;
    std::uint64_t cumulative = 0;
    for (const auto& bucket : histogram.buckets()) {
        cumulative += bucket.count;
        auto bucketLabels = labels;
        bucketLabels["le"] = formatNumber(bucket.upper);
        text += renderSample(name + "_bucket", bucketLabels, std::to_string(cumulative));
    }
    text += renderSample(name + "_sum", labels, formatNumber(histogram.sum()));
    return text + renderSample(name + "_count", labels, std::to_string(cumulative));
}

} // namespace

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::registerKind(const std::string& name, const Labels& labels, Kind kind)
{
    if (!isValidName(name))
        throw Error(ErrorKind::InvalidArgument, "'" + name + "' is not a valid metric name", "use letters, digits and underscores");
    for (const auto& [label, value] : labels) {
        if (!isValidName(label) || label == "le")
            throw Error(ErrorKind::InvalidArgument, "'" + label + "' is not a valid label name", "use letters, digits and underscores, and not 'le'");
    }
    if (m_kinds.try_emplace(name, kind).first->second != kind)
        throw Error(ErrorKind::InvalidArgument, "metric '" + name + "' already exists with another kind", "use a different name for each metric");
}

Counter& MetricsRegistry::counter(const std::string& name, const Labels& labels)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find({ name, labels });
    if (found != m_counters.end())
        return *found->second;
    registerKind(name, labels, Kind::Counter);
    return *(m_counters[{ name, labels }] = std::make_unique<Counter>(0));
}

Histogram& MetricsRegistry::histogram(const std::string& name, const Labels& labels)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_histograms.find({ name, labels });
    if (found != m_histograms.end())
        return *found->second;
    registerKind(name, labels, Kind::Histogram);
    return *(m_histograms[{ name, labels }] = std::make_unique<Histogram>());
}

void MetricsRegistry::addGauge(const std::string& name, const Labels& labels, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    registerKind(name, labels, Kind::Gauge);
    m_gauges[{ name, labels }] = std::move(read);
}

void MetricsRegistry::describe(const std::string& name, const std::string& help)
{
    const std::lock_guard lock(m_mutex);
    m_help[name] = help;
}

void MetricsRegistry::forEachHistogram(const std::function<void(const std::string&, const Labels&, const Histogram&)>& visit) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [key, histogram] : m_histograms)
        visit(key.first, key.second, *histogram);
}

std::string MetricsRegistry::renderHeader(const std::string& name) const
{
    constexpr std::array<std::string_view, 3> kindNames { "counter", "gauge", "histogram" };
    std::string text;
    const auto help = m_help.find(name);
    if (help != m_help.end())
        text.append("# HELP ").append(prefix).append(name).append(" ").append(escape(help->second, false)).append("\n");
    const auto kind = static_cast<std::size_t>(m_kinds.at(name));
    return text.append("# TYPE ").append(prefix).append(name).append(" ").append(kindNames[kind]).append("\n");
}

std::string MetricsRegistry::renderPrometheus() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    std::string family;
    // All series of a name are consecutive and share one header.
    const auto beginFamily = [&](const std::string& name) {
        if (name != family)
            text += renderHeader(name);
        family = name;
    };
    for (const auto& [key, counter] : m_counters) {
        beginFamily(key.first);
        text += renderSample(key.first, key.second, std::to_string(counter->load()));
    }
    for (const auto& [key, read] : m_gauges) {
        beginFamily(key.first);
        text += renderSample(key.first, key.second, formatNumber(read()));
    }
    for (const auto& [key, histogram] : m_histograms) {
        beginFamily(key.first);
        text += render(key.first, key.second, *histogram);
    }
    return text;
}

} // namespace clementinesill
