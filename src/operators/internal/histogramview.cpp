#include "operators/histogramview.h"

#include "operators/internal/texttable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

namespace clementinesill::operators {

namespace {

struct SeriesSum {
    std::uint64_t count = 0;
    double seconds = 0;
    std::map<double, std::uint64_t> buckets;
};

std::string durationText(double seconds)
{
    if (std::isinf(seconds))
        return "inf";
    constexpr std::array<std::pair<double, const char*>, 3> units { { { 1, " s" }, { 1e-3, " ms" }, { 1e-6, " us" } } };
    const auto fits = [seconds](const auto& unit) { return seconds >= unit.first; };
    const auto found = std::ranges::find_if(units, fits);
    const auto& [scale, unit] = found == units.end() ? units.back() : *found;
    std::ostringstream text;
    text << std::setprecision(3) << seconds / scale << unit;
    return text.str();
}

std::string labelText(const schema::HistogramSeries& series)
{
    const std::map<std::string, std::string> sorted(series.labels().begin(), series.labels().end());
    std::string text;
    for (const auto& [key, value] : sorted)
        text.append(text.empty() ? "" : " ").append(key).append("=").append(value);
    return text;
}

std::string renderBars(const schema::HistogramSeries& series)
{
    constexpr std::uint64_t barWidth = 50;
    std::uint64_t maximumCount = 1;
    for (const auto& bucket : series.buckets())
        maximumCount = std::max(maximumCount, bucket.count());
    TextTable table({ "UP TO", "COUNT", "" });
    for (const auto& bucket : series.buckets())
        table.add({ durationText(bucket.upper()), std::to_string(bucket.count()), std::string(std::max<std::uint64_t>(1, bucket.count() * barWidth / maximumCount), '#') });
    return series.name() + " " + labelText(series) + "\n" + table.render();
}

} // namespace

schema::HistogramList mergeHistograms(const schema::HistogramList& list, std::string_view name)
{
    std::map<std::pair<std::string, std::map<std::string, std::string>>, SeriesSum> sums;
    for (const auto& series : list.series()) {
        if (!name.empty() && series.name() != name)
            continue;
        auto& sum = sums[{ series.name(), { series.labels().begin(), series.labels().end() } }];
        sum.count += series.count();
        sum.seconds += series.sum();
        for (const auto& bucket : series.buckets())
            sum.buckets[bucket.upper()] += bucket.count();
    }
    schema::HistogramList merged;
    for (const auto& [key, sum] : sums) {
        auto& series = *merged.add_series();
        series.set_name(key.first);
        series.mutable_labels()->insert(key.second.begin(), key.second.end());
        series.set_count(sum.count);
        series.set_sum(sum.seconds);
        for (const auto& [upper, count] : sum.buckets) {
            auto& bucket = *series.add_buckets();
            bucket.set_upper(upper);
            bucket.set_count(count);
        }
    }
    return merged;
}

double quantile(const schema::HistogramSeries& series, double quantile)
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(series.count())));
    std::uint64_t cumulativeCount = 0;
    for (const auto& bucket : series.buckets()) {
        cumulativeCount += bucket.count();
        if (cumulativeCount >= rank && cumulativeCount)
            return bucket.upper();
    }
    return 0;
}

std::string renderHistograms(const schema::HistogramList& list, bool bars)
{
    constexpr double median = 0.5;
    constexpr double ninetieth = 0.9;
    constexpr double ninetyNinth = 0.99;
    TextTable table({ "HISTOGRAM", "LABELS", "COUNT", "MEAN", "P50", "P90", "P99", "MAX" });
    std::string text;
    for (const auto& series : list.series()) {
        const double mean = series.count() ? series.sum() / static_cast<double>(series.count()) : 0;
        table.add({ series.name(), labelText(series), std::to_string(series.count()), durationText(mean), durationText(quantile(series, median)),
            durationText(quantile(series, ninetieth)), durationText(quantile(series, ninetyNinth)), durationText(quantile(series, 1)) });
        if (bars)
            text += "\n\n" + renderBars(series);
    }
    return table.render() + text;
}

} // namespace clementinesill::operators
