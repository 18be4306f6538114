#include "foundation/histogram.h"

#include <CppUTest/TestHarness.h>
#include <cmath>

using namespace clementinesill;

// clang-format off
TEST_GROUP(Histogram) {};
// clang-format on

TEST(Histogram, QuantileReturnsUpperBoundOfBucket)
{
    Histogram histogram;
    DOUBLES_EQUAL(0, histogram.quantile(0.5), 0);
    for (int index = 0; index < 99; ++index)
        histogram.record(0.01);
    histogram.record(10);
    const double median = histogram.quantile(0.5);
    CHECK(median >= 0.01 && median < 0.013);
    CHECK(histogram.quantile(0.99) == median);
    CHECK(histogram.quantile(1) >= 10);
    LONGS_EQUAL(100, histogram.count());
    DOUBLES_EQUAL(10.99, histogram.sum(), 1e-9);
}

TEST(Histogram, CountsValuesOutsideRange)
{
    Histogram histogram;
    histogram.record(0);
    histogram.record(1e9);
    const auto buckets = histogram.buckets();
    LONGS_EQUAL(1, buckets.front().count);
    LONGS_EQUAL(1, buckets.back().count);
    CHECK(std::isinf(buckets.back().upper));
}
