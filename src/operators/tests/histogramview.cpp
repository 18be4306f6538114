#include "operators/histogramview.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::operators;

// clang-format off
TEST_GROUP(HistogramView) {};
// clang-format on

TEST(HistogramView, RendersQuantilesAndBars)
{
    schema::HistogramList list;
    auto& series = *list.add_series();
    series.set_name("request_seconds");
    (*series.mutable_labels())["service"] = "orders";
    series.set_count(4);
    series.set_sum(2);
    for (const auto& [upper, count] : { std::pair(0.002, 3), std::pair(1.5, 1) }) {
        auto& bucket = *series.add_buckets();
        bucket.set_upper(upper);
        bucket.set_count(static_cast<std::uint64_t>(count));
    }
    const auto text = renderHistograms(list, true);
    CHECK(text.find("request_seconds  service=orders  4      500 ms  2 ms  1.5 s  1.5 s  1.5 s") != std::string::npos);
    CHECK(text.find("2 ms   3      ##################################################") != std::string::npos);
    CHECK(text.find("1.5 s  1      ################") != std::string::npos);
    STRCMP_EQUAL("HISTOGRAM  LABELS  COUNT  MEAN  P50  P90  P99  MAX", renderHistograms({}, false).c_str());
}
