#include "operators/configerror.h"
#include "operators/foldermerge.h"
#include "operators/settings.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

using namespace clementinesill;
using namespace clementinesill::operators;

namespace {

constexpr auto dataRoot = "/var/lib/clementinesill";

struct Deployment {
    const char* name;
    const char* firstService;
    const char* firstAddress;
    const char* secondService;
    const char* secondAddress;
    std::set<std::string> zones;
};

} // namespace

TEST_GROUP(Examples)
{
    std::string folder;

    void setup() override
    {
        char path[] = "/tmp/clementinesill-test-XXXXXX";
        folder = mkdtemp(path);
        for (const auto* controller : { "controller-1", "controller-2", "controller-3" })
            std::filesystem::create_directory(folder + "/" + controller);
    }

    void teardown() override { std::filesystem::remove_all(folder); }

    // Loads the settings, with the data folder replaced by the test's temporary folder.
    schema::DaemonSettings load(const std::filesystem::path& path)
    {
        std::ifstream stream(path);
        std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
        const auto position = text.find(dataRoot);
        if (position != std::string::npos)
            text.replace(position, std::string(dataRoot).size(), folder);
        const auto copy = folder + "/" + path.filename().string();
        std::ofstream(copy) << text;
        return loadDaemonSettings(copy);
    }

    void checkDeployment(const Deployment& deployment)
    {
        const auto root = std::string(EXAMPLES_FOLDER) + "/" + deployment.name;
        const auto config = mergeOperatorFolder(readOperatorFolder(root + "/operators"));
        LONGS_EQUAL(2, config.services.size());
        STRCMP_EQUAL(deployment.firstService, config.services[0].name().c_str());
        STRCMP_EQUAL(deployment.firstAddress, config.services[0].address().c_str());
        STRCMP_EQUAL(deployment.secondService, config.services[1].name().c_str());
        STRCMP_EQUAL(deployment.secondAddress, config.services[1].address().c_str());
        std::set<std::string> zones;
        for (const auto& zone : config.zones)
            zones.insert(zone.name());
        CHECK(zones == deployment.zones);
        LONGS_EQUAL(3, loadClientSettings(root + "/client.json").controllers_size());
        int daemons = 0;
        for (const auto& entry : std::filesystem::directory_iterator(root + "/daemons")) {
            const auto settings = load(entry.path());
            CHECK_TRUE_TEXT(zones.contains(settings.zone()), entry.path().c_str());
            if (settings.has_agent())
                CHECK_TRUE_TEXT(settings.agent().service() == deployment.firstService || settings.agent().service() == deployment.secondService, entry.path().c_str());
            ++daemons;
        }
        LONGS_EQUAL(9, daemons);
    }
};

TEST(Examples, TahananIsValid)
{
    checkDeployment({ "tahanan", "orders", "127.0.1.10", "swatches", "127.0.1.20", { "mandaue", "lapu-lapu", "talisay" } });
}

TEST(Examples, RusztowaniaIsValid)
{
    checkDeployment({ "rusztowania", "filings", "127.0.2.10", "sheets", "127.0.2.20", { "krk-a", "krk-b", "kat-a" } });
}
