#include "foundation/histogram.h"

#include <cmath>
#include <limits>

namespace clementinesill {

namespace {

constexpr unsigned bucketCount = 70;
constexpr double lowestSeconds = 1e-5;
constexpr double highestSeconds = 100;

} // namespace

Histogram::Histogram()
    : m_storage(boost::histogram::make_histogram(Axis(bucketCount, lowestSeconds, highestSeconds)))
{
}

void Histogram::record(double seconds)
{
    const std::lock_guard lock(m_mutex);
    m_storage(seconds);
    ++m_count;
    m_sum += seconds;
}

std::uint64_t Histogram::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_count;
}

double Histogram::sum() const
{
    const std::lock_guard lock(m_mutex);
    return m_sum;
}

std::vector<Histogram::Bucket> Histogram::buckets() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Bucket> result;
    const auto& axis = m_storage.axis(0);
    for (int index = -1; index <= axis.size(); ++index) {
        const double upper = index == axis.size() ? std::numeric_limits<double>::infinity() : axis.value(index + 1);
        result.push_back({ .upper = upper, .count = static_cast<std::uint64_t>(m_storage.at(index)) });
    }
    return result;
}

double Histogram::quantile(double quantile) const
{
    const auto all = buckets();
    const auto total = count();
    const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(total)));
    std::uint64_t cumulative = 0;
    for (const auto& bucket : all) {
        cumulative += bucket.count;
        if (cumulative >= rank && cumulative)
            return bucket.upper;
    }
    return 0;
}

} // namespace clementinesill
