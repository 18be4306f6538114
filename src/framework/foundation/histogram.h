#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <mutex>
#include <vector>

namespace clementinesill {

// Distribution of durations in seconds over logarithmic buckets. Thread-safe.
class Histogram {
public:
    // One bucket: values in (lower, upper].
    struct Bucket {
        double upper = 0;
        std::uint64_t count = 0;
    };

    Histogram();

    void record(double seconds);
    std::uint64_t count() const;
    double sum() const;

    // Buckets in ascending order; the last one's upper bound is infinity.
    std::vector<Bucket> buckets() const;

    // Upper bound of the bucket that holds the quantile, 0 without values. quantile is in [0, 1].
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
