#include "foundation/log.h"

#include "foundation/error.h"
#include "foundation/internal/logline.h"
#include "testing/stdoutcapture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace clementinesill;

namespace {

// clang-format off
TEST_GROUP(Log) {};
// clang-format on

std::vector<std::string> readLines(const std::string& file)
{
    std::ifstream stream(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

TEST(Log, ParsesAndNamesLevels)
{
    for (const auto level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warn, LogLevel::Error })
        CHECK(parseLogLevel(name(level)) == level);
    CHECK(parseLogLevel("") == LogLevel::Info);
    CHECK_THROWS(Error, parseLogLevel("loud"));
}

TEST(Log, JsonLinePreservesAnyAsciiValue)
{
    CHECK(rc::check("parsing the line returns any ASCII value", [](const std::string& text) {
        std::string value;
        for (const char character : text)
            value += static_cast<char>(character & 0x7f);
        const std::vector<LogField> fields { { logkey::flow, value }, { logkey::reason, "held" } };
        const auto line = renderJson({ .timeMs = 7, .level = LogLevel::Warn, .daemon = "a1", .event = "flow_freed", .fields = fields });
        RC_ASSERT(line.find('\n') == std::string::npos);
        const auto json = nlohmann::json::parse(line);
        RC_ASSERT(json["flow"].get<std::string>() == value);
        RC_ASSERT(json["level"].get<std::string>() == "warn");
    }));
}

TEST(Log, PrefixesFieldsWithReservedKeys)
{
    const std::vector<LogField> fields { { "level", "none" }, { "event", "other" } };
    STRCMP_EQUAL(R"({"time_ms":1,"level":"info","daemon":"b1","event":"started","field_level":"none","field_event":"other"})",
        renderJson({ .timeMs = 1, .daemon = "b1", .event = "started", .fields = fields }).c_str());
}

TEST(Log, TextLineQuotesSpecialCharacters)
{
    const std::vector<LogField> fields { { "plain", "127.0.0.1:80" }, { "spaced", "a b" }, { "broken", "a\nlevel=error" }, { "empty", "" } };
    STRCMP_EQUAL(R"(info started plain=127.0.0.1:80 spaced="a b" broken="a\nlevel=error" empty="")",
        renderText({ .event = "started", .fields = fields }).c_str());
}

TEST(Log, WritesLinesAtOrAboveLevelToFile)
{
    char path[] = "/tmp/clementinesill-test-XXXXXX";
    const std::string folder = mkdtemp(path);
    log(LogLevel::Error, "before_configuration");
    CHECK_THROWS(Error, configureLog({ .file = folder + "/none/a.log" }));
    configureLog({ .level = LogLevel::Info, .file = folder + "/a.log", .daemon = "b1" });
    log(LogLevel::Debug, "hidden");
    setLogLevel(LogLevel::Debug);
    log(LogLevel::Debug, "shown", { { logkey::service, "orders" } });
    const auto lines = readLines(folder + "/a.log");
    LONGS_EQUAL(1, lines.size());
    const auto json = nlohmann::json::parse(lines[0]);
    STRCMP_EQUAL("shown", json["event"].get<std::string>().c_str());
    STRCMP_EQUAL("orders", json["service"].get<std::string>().c_str());
    std::filesystem::remove_all(folder);
}

TEST(Log, DropsAndReportsLinesWhenReaderIsBlocked)
{
    StdoutCapture output;
    configureLog({ .standardOutput = true, .linesPerSecond = 0, .daemon = "b1" });
    const std::string value(1000, 'x');
    constexpr int lines = 500;
    for (int line = 0; line < lines; ++line)
        log(LogLevel::Info, "flooded", { { "value", value } });
    const auto held = output.contents();
    log(LogLevel::Info, "after");
    const auto rest = output.contents();
    output.restore();
    configureLog({ .standardOutput = true });
    CHECK(held.ends_with("\n"));
    const auto writtenLines = std::count(held.begin(), held.end(), '\n');
    CHECK(writtenLines > 0 && writtenLines < lines);
    CHECK(rest.find("log_lines_lost") != std::string::npos);
    CHECK(rest.find(R"("event":"after")") != std::string::npos);
}

TEST(Log, CountsLinesBeyondRateLimitAsSuppressed)
{
    StdoutCapture output;
    configureLog({ .standardOutput = true, .linesPerSecond = 2 });
    const auto before = logCounts();
    for (int line = 0; line < 7; ++line)
        log(LogLevel::Info, "flooded_again");
    const auto after = logCounts();
    output.restore();
    configureLog({ .standardOutput = true });
    LONGS_EQUAL(5, after.suppressed - before.suppressed);
    LONGS_EQUAL(2, after.written - before.written);
}
