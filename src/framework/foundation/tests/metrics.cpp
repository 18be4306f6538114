#include "foundation/metrics.h"

#include "foundation/error.h"
#include "foundation/histogram.h"

#include <CppUTest/TestHarness.h>
#include <limits>
#include <regex>
#include <set>
#include <sstream>
#include <vector>

using namespace clementinesill;

namespace {

// clang-format off
TEST_GROUP(Metrics) {};
// clang-format on

std::vector<std::string> linesOf(const MetricsRegistry& registry)
{
    std::istringstream text(registry.renderPrometheus());
    std::vector<std::string> lines;
    for (std::string line; std::getline(text, line);)
        lines.push_back(line);
    return lines;
}

bool isRejected(const std::function<void()>& call)
{
    try {
        call();
    } catch (const Error& error) {
        return error.kind() == ErrorKind::InvalidArgument;
    }
    return false;
}

} // namespace

TEST(Metrics, RendersValidLinesAndOneHeaderPerName)
{
    MetricsRegistry registry;
    registry.describe("packets_total", "Packets.\nAll of them, \"every\" \\ one.");
    registry.counter("packets_total", { { "service", "orders" } }) = 3;
    registry.counter("packets_total", { { "service", "a\"b\\c\nd" } }) = 4;
    registry.addGauge("flows", { { "service", "orders" } }, [] { return 123456789.0; });
    registry.addGauge("version", {}, [] { return std::numeric_limits<double>::infinity(); });
    registry.addGauge("flows", { { "service", "sheets" } }, [] { return std::numeric_limits<double>::quiet_NaN(); });
    registry.histogram("request_seconds", { { "service", "orders" }, { "class", "post" } }).record(0.25);
    const std::regex valid(R"re((# (HELP|TYPE) [a-z_]+ .+|[a-z_]+(\{([a-z]+="([^"\\]|\\.)*",?)+\})? ([-+.e0-9]+|\+Inf|NaN)))re");
    std::set<std::string> headers;
    for (const auto& line : linesOf(registry)) {
        CHECK_TRUE_TEXT(std::regex_match(line, valid), line.c_str());
        if (line.starts_with("# TYPE"))
            CHECK_TRUE_TEXT(headers.insert(line).second, line.c_str());
    }
    LONGS_EQUAL(4, headers.size());
    const auto text = registry.renderPrometheus();
    CHECK(text.find("clementinesill_flows{service=\"orders\"} 123456789\n") != std::string::npos);
    CHECK(text.find("clementinesill_packets_total{service=\"a\\\"b\\\\c\\nd\"} 4\n") != std::string::npos);
    CHECK(text.find("# HELP clementinesill_packets_total Packets.\\nAll of them, \"every\" \\\\ one.\n") != std::string::npos);
}

TEST(Metrics, RendersCumulativeBucketsForEachSeries)
{
    MetricsRegistry registry;
    auto& posts = registry.histogram("request_seconds", { { "service", "orders" }, { "class", "post" } });
    posts.record(0.001);
    posts.record(0.5);
    posts.record(1e6);
    registry.histogram("request_seconds", { { "service", "orders" }, { "class", "get" } }).record(2);
    const auto text = registry.renderPrometheus();
    CHECK(text.find("clementinesill_request_seconds_bucket{class=\"post\",le=\"+Inf\",service=\"orders\"} 3\n") != std::string::npos);
    CHECK(text.find("clementinesill_request_seconds_count{class=\"post\",service=\"orders\"} 3\n") != std::string::npos);
    CHECK(text.find("clementinesill_request_seconds_count{class=\"get\",service=\"orders\"} 1\n") != std::string::npos);
    std::uint64_t previous = 0;
    for (const auto& line : linesOf(registry)) {
        if (!line.starts_with("clementinesill_request_seconds_bucket{class=\"post\""))
            continue;
        const auto count = std::stoull(line.substr(line.rfind(' ')));
        CHECK(count >= previous);
        previous = count;
    }
}

TEST(Metrics, ReturnsSameSeriesForSameNameAndLabels)
{
    MetricsRegistry registry;
    POINTERS_EQUAL(&registry.counter("a", { { "x", "1" } }), &registry.counter("a", { { "x", "1" } }));
    CHECK(&registry.counter("a", { { "x", "1" } }) != &registry.counter("a", { { "x", "2" } }));
}

TEST(Metrics, RejectsInvalidNamesAndConflictingKinds)
{
    MetricsRegistry registry;
    CHECK(isRejected([&] { registry.counter("with space"); }));
    CHECK(isRejected([&] { registry.counter("9lives"); }));
    CHECK(isRejected([&] { registry.counter("a", { { "la-bel", "x" } }); }));
    CHECK(isRejected([&] { registry.histogram("a", { { "le", "x" } }); }));
    registry.counter("a");
    CHECK(isRejected([&] { registry.histogram("a"); }));
    CHECK(isRejected([&] { registry.addGauge("a", {}, [] { return 0.0; }); }));
    STRCMP_EQUAL("# TYPE clementinesill_a counter\nclementinesill_a 0\n", registry.renderPrometheus().c_str());
}
