#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <mutex>
#include <vector>

namespace clementinesill {

// Histogram of durations in seconds with logarithmic buckets. Thread-safe.
class Histogram {
public:
    // Counts the values up to `upper` that are above the previous bucket.
    struct Bucket {
        double upper = 0;
        std::uint64_t count = 0;
    };

    Histogram();

    void record(double seconds);
    std::uint64_t count() const;
    double sum() const;

    // Returns the buckets in ascending order; the upper bound of the last one is infinity.
    std::vector<Bucket> buckets() const;

    // Returns the upper bound of the bucket that contains the quantile, or 0 if the histogram is empty. quantile is in
    // [0, 1].
    double quantile(double quantile) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    mutable std::mutex m_mutex;
    Storage m_storage;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

} // namespace clementinesill
