#include "operators/foldermerge.h"

#include "operators/configerror.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <optional>
#include <rapidcheck.h>
#include <sstream>

using namespace clementinesill;
using namespace clementinesill::operators;

namespace {

// clang-format off
TEST_GROUP(FolderMerge) {};
// clang-format on

const std::string orders = R"({"name":"orders","address":"127.0.1.10","port":80,"mode":"http"})";

std::string services(const std::string& records)
{
    return "{\"services\":[" + records + "]}";
}

std::optional<ConfigError> errorOf(std::span<const ConfigFile> files)
{
    try {
        mergeOperatorFolder(files);
    } catch (const ConfigError& error) {
        return error;
    }
    return std::nullopt;
}

// File content that must be rejected with the fault, at the line and key.
struct InvalidFile {
    const char* content;
    ConfigFault fault;
    int line;
    const char* key;
};

void checkRejected(const InvalidFile& invalid)
{
    const std::vector<ConfigFile> files { { .name = "10-a.json", .content = invalid.content } };
    const auto error = errorOf(files);
    CHECK_TRUE_TEXT(error.has_value(), invalid.content);
    STRCMP_EQUAL_TEXT(std::string(name(invalid.fault)).c_str(), std::string(name(error->fault())).c_str(), error->what());
    LONGS_EQUAL_TEXT(invalid.line, error->position().line, error->what());
    STRCMP_EQUAL_TEXT(invalid.key, error->position().key.c_str(), error->what());
    STRCMP_EQUAL("10-a.json", error->position().file.c_str());
    CHECK_TRUE_TEXT(!error->remedy().empty(), error->what());
    CHECK_TRUE_TEXT(std::string(error->what()).find('\n') == std::string::npos, error->what());
}

std::string describe(const FleetConfig& config)
{
    std::string text;
    for (const auto& service : config.services)
        text += service.ShortDebugString() + "\n";
    for (const auto& zone : config.zones)
        text += zone.ShortDebugString() + "\n";
    return text;
}

} // namespace

TEST(FolderMerge, LaterFileReplacesOnlyItsOwnKeys)
{
    const std::vector<ConfigFile> files {
        { .name = "20-b.json", .content = R"({"services":[{"name":"feed","proxyProtocol":false,"port":81}]})" },
        { .name = "10-a.json", .content = R"(// base
            {"services":[{"name":"feed","address":"127.0.1.10","port":80,"mode":"stream","proxyProtocol":true}],
             "zones":[{"name":"talisay"},{"name":"mandaue","state":"out"}]})" },
    };
    const auto config = mergeOperatorFolder(files);
    LONGS_EQUAL(1, config.services.size());
    const auto& service = config.services[0];
    STRCMP_EQUAL("127.0.1.10", service.address().c_str());
    LONGS_EQUAL(81, service.port());
    CHECK(!service.proxy_protocol());
    LONGS_EQUAL(schema::PROTOCOL_TCP, service.protocol());
    LONGS_EQUAL(3600, service.idle_timeout_seconds());
    LONGS_EQUAL(schema::ZONE_STATE_OUT, config.zones[0].state());
    LONGS_EQUAL(schema::ZONE_STATE_UNSPECIFIED, config.zones[1].state());
}

TEST(FolderMerge, ReportsFileLineAndKeyOfEachFault)
{
    const InvalidFile invalidFiles[] = {
        { "{\n\"services\": [\n", ConfigFault::Syntax, 2, "" },
        { "{} // a\n// \xff\n", ConfigFault::Syntax, 2, "" },
        { "[]", ConfigFault::WrongType, 1, "" },
        { "{\n\"service\": []}", ConfigFault::UnknownKey, 2, "service" },
        { "{\"a\\nb\": []}", ConfigFault::UnknownKey, 1, "a\nb" },
        { "{\"zones\":[],\n\"zones\":[]}", ConfigFault::DuplicateKey, 2, "zones" },
        { "{\"services\":[\n{\"name\":\"a\",\n\"port\":\"80\"}]}", ConfigFault::WrongType, 3, "services[0].port" },
        { "{\"services\":[\n{\"name\":\"a\",\n\"port\":80.5\n}]}", ConfigFault::WrongType, 3, "services[0].port" },
        { "{\"services\":[{\"name\":\"a\",\n\"idleTimeoutSeconds\":\"3 min\"}]}", ConfigFault::WrongUnit, 2, "services[0].idleTimeoutSeconds" },
        { "{\"services\":[{\"name\":\"a\",\n\"port\":99999999999}]}", ConfigFault::OutOfRange, 2, "services[0].port" },
        { "{\"services\":[{\"name\":\"a\",\"address\":\"10.0.0.1\",\"mode\":\"http\",\n\"port\":70000}]}", ConfigFault::OutOfRange, 2, "services[0].port" },
        { "{\"services\":[\n{\"name\":\"a\",\"address\":\"10.0.0.1\",\"mode\":\"http\"}]}", ConfigFault::MissingKey, 2, "services[0]" },
        { "{\"services\":[\n{\"port\":1}]}", ConfigFault::MissingKey, 2, "services[0].name" },
        { "{\"zones\":[\n{\"name\":\"Talisay\"}]}", ConfigFault::BadName, 2, "zones[0].name" },
        { "{\"zones\":[{\"name\":\"a\",\n\"state\":\"away\"}]}", ConfigFault::UnknownValue, 2, "zones[0].state" },
        { "{\"zones\":[{\"name\":\"a\"},\n{\"name\":\"a\"}]}", ConfigFault::DuplicateRecord, 2, "zones[1].name" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"mode\":\"http\",\n\"address\":\"10.0.0\"}]}", ConfigFault::BadAddress, 2, "services[0].address" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"mode\":\"http\",\n\"address\":\"224.0.0.1\"}]}", ConfigFault::BadAddress, 2, "services[0].address" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"mode\":\"http\",\n\"address\":\"fe80::1\"}]}", ConfigFault::Ipv6Address, 2, "services[0].address" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"address\":\"10.0.0.1\",\n\"mode\":\"grpc\"}]}", ConfigFault::UnknownValue, 2, "services[0].mode" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"address\":\"10.0.0.1\",\"mode\":\"stream\",\n\"protocol\":\"sctp\"}]}", ConfigFault::UnknownValue, 2, "services[0].protocol" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"address\":\"10.0.0.1\",\"protocol\":\"udp\",\n\"mode\":\"http\"}]}", ConfigFault::KeyNotApplicable, 2, "services[0].mode" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"address\":\"10.0.0.1\",\"mode\":\"http\",\n\"proxyProtocol\":true}]}", ConfigFault::KeyNotApplicable, 2, "services[0].proxyProtocol" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"address\":\"10.0.0.1\",\"mode\":\"stream\",\n\"requestTimeoutMs\":5}]}", ConfigFault::KeyNotApplicable, 2, "services[0].requestTimeoutMs" },
        { "{\"services\":[{\"name\":\"a\",\"port\":1,\"address\":\"10.0.0.1\",\"mode\":\"http\"},\n{\"name\":\"b\",\"port\":1,\"address\":\"10.0.0.1\",\"mode\":\"http\"}]}", ConfigFault::SharedAddress, 2, "services[1].address" },
        { "[[[[[[[[[[[[[[[[[[[[", ConfigFault::TooLarge, 1, "" },
    };
    for (const auto& invalid : invalidFiles)
        checkRejected(invalid);
}

TEST(FolderMerge, RejectsDuplicateAndInvalidFileNames)
{
    const std::vector<ConfigFile> duplicates { { .name = "a.json", .content = "{}" }, { .name = "a.json", .content = services(orders) } };
    CHECK(errorOf(duplicates)->fault() == ConfigFault::DuplicateRecord);
    const std::vector<ConfigFile> outsideFolder { { .name = "../a.json", .content = "{}" } };
    CHECK(errorOf(outsideFolder)->fault() == ConfigFault::BadName);
}

TEST(FolderMerge, MergedRecordFaultReportsFileThatSetTheKey)
{
    const std::vector<ConfigFile> files {
        { .name = "a.json", .content = services(orders) },
        { .name = "b.json", .content = "{\"services\":[{\"name\":\"orders\",\n\"port\":0}]}" },
    };
    const auto error = errorOf(files);
    STRCMP_EQUAL("b.json:2: key 'services[0].port': 0 is out of range; use a number from 1 to 65535", error->what());
}

TEST(FolderMerge, ResultIsIndependentOfFileOrder)
{
    CHECK(rc::check("files in any order give the same result", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 8);
        std::vector<ConfigFile> files;
        for (std::size_t index = 0; index < count; ++index) {
            const auto service = std::to_string(*rc::gen::inRange(0, 3));
            const auto port = std::to_string(*rc::gen::inRange(1, 6));
            std::ostringstream record;
            record << R"({"name":"s)" << service << R"(","address":"10.0.0.)" << service << R"(","port":)" << port << R"(,"mode":"stream"})";
            files.push_back({ .name = std::to_string(index) + ".json", .content = services(record.str()) });
        }
        auto shuffled = files;
        for (std::size_t index = count; index > 1; --index)
            std::swap(shuffled[index - 1], shuffled[*rc::gen::inRange<std::size_t>(0, index)]);
        RC_ASSERT(describe(mergeOperatorFolder(files)) == describe(mergeOperatorFolder(shuffled)));
    }));
}
