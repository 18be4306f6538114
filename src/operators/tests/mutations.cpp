#include "fakeoperators.h"
#include "foundation/seededrandom.h"
#include "operators/commandline.h"
#include "operators/configerror.h"
#include "operators/foldermerge.h"
#include "operators/settings.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <rapidcheck.h>
#include <sstream>

using namespace clementinesill;
using namespace clementinesill::operators;

namespace {

// rapidcheck runs 100 cases of each property.
constexpr int textsPerCase = 1000;

// clang-format off
TEST_GROUP(Mutations) {};
// clang-format on

std::vector<ConfigFile> exampleFiles()
{
    return readOperatorFolder(std::string(EXAMPLES_FOLDER) + "/tahanan/operators");
}

// Fragments that trigger parser errors more often than random bytes.
const std::vector<std::string> fragments { "{", "}", "[", "]", "\"", ",", ":", "/*", "//", "\n", "null", "-1", "1e99", "99999999999999999999", "\"3s\"", "\\u0000", "\xff", "\"name\"", "\"services\"", "[[[[" };

// Deletes, duplicates, inserts or overwrites text in up to four places.
std::string mutate(std::string text, std::uint64_t seed)
{
    std::uint64_t state = seed * 2 + 1;
    const auto randomBelow = [&state](std::size_t bound) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        return static_cast<std::size_t>(state >> 33) % bound;
    };
    for (std::size_t change = randomBelow(4); change < 4; ++change) {
        const auto position = randomBelow(text.size() + 1);
        const auto length = randomBelow(20);
        switch (randomBelow(4)) {
        case 0:
            text.erase(position, length);
            break;
        case 1:
            text.insert(position, text.substr(position, length));
            break;
        case 2:
            text.insert(position, fragments[randomBelow(fragments.size())]);
            break;
        default:
            if (position < text.size())
                text[position] = static_cast<char>(randomBelow(256));
        }
    }
    return text;
}

// Returns an empty text if the files are accepted; otherwise the error, which must name file and remedy on one line.
std::string outcome(const std::vector<ConfigFile>& files)
{
    try {
        mergeOperatorFolder(files);
        return {};
    } catch (const ConfigError& error) {
        std::string text = error.what();
        RC_ASSERT(!error.remedy().empty());
        RC_ASSERT(!error.position().file.empty());
        RC_ASSERT(text.find('\n') == std::string::npos);
        return text;
    }
}

} // namespace

// 100,000 texts: each is accepted or rejected with a ConfigError, with the same result when repeated.
TEST(Mutations, MutatedFolderIsAcceptedOrRejectedWithConfigError)
{
    const auto files = exampleFiles();
    int accepted = 0;
    int rejected = 0;
    CHECK(rc::check("mutated files are accepted or rejected with a ConfigError", [&](std::uint64_t seed) {
        for (int index = 0; index < textsPerCase; ++index) {
            auto mutated = files;
            mutated[static_cast<std::size_t>(index) % mutated.size()].content = mutate(mutated[static_cast<std::size_t>(index) % mutated.size()].content, seed + static_cast<std::uint64_t>(index));
            const auto first = outcome(mutated);
            ++(first.empty() ? accepted : rejected);
            if (index % 10 == 0)
                RC_ASSERT(outcome(mutated) == first);
        }
    }));
    CHECK(accepted + rejected >= 100 * textsPerCase);
    // The mutations must produce both valid and invalid files.
    CHECK(accepted > 1000);
    CHECK(rejected > 1000);
}

TEST(Mutations, MutatedSettingsAreAcceptedOrRejectedWithConfigError)
{
    std::ifstream stream(std::string(EXAMPLES_FOLDER) + "/tahanan/daemons/agent-orders-1.json");
    const std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    char path[] = "/tmp/clementinesill-test-XXXXXX";
    const std::string folder = mkdtemp(path);
    const auto file = folder + "/agent.json";
    CHECK(rc::check("mutated settings are accepted or rejected with a ConfigError", [&](std::uint64_t seed) {
        for (int index = 0; index < textsPerCase / 10; ++index) {
            std::ofstream(file) << mutate(text, seed + static_cast<std::uint64_t>(index));
            try {
                loadDaemonSettings(file);
            } catch (const ConfigError& error) {
                RC_ASSERT(!error.remedy().empty());
            }
        }
    }));
    std::filesystem::remove_all(folder);
}

TEST(Mutations, ApplySendsOnlyFoldersThatCheckAccepts)
{
    constexpr auto port = 23090;
    FakeOperators controller(port);
    const ManualClock clock;
    SeededRandom random(1);
    char path[] = "/tmp/clementinesill-test-XXXXXX";
    const std::string folder = mkdtemp(path);
    const auto files = exampleFiles();
    int accepted = 0;
    CHECK(rc::check("apply sends a folder only if check accepts it, with the content that check read", [&](std::uint64_t seed) {
        std::ostringstream out;
        std::ostringstream err;
        const CommandEnvironment environment { .out = out, .err = err, .clock = clock, .random = random, .sleep = [](Duration) {}, .shouldStop = [] { return true; } };
        for (const auto& file : files)
            std::ofstream(folder + "/" + file.name) << mutate(file.content, seed);
        const std::vector<std::string> check { "check", folder, "--output", "json" };
        const std::vector<std::string> apply { "apply", folder, "--controllers", controller.endpoint() };
        controller.applied.clear();
        const int checked = runCommandLine(check, environment);
        RC_ASSERT(runCommandLine(apply, environment) == checked);
        RC_ASSERT(controller.applied.size() == (checked == 0 ? 1U : 0U));
        if (checked != 0)
            return;
        ++accepted;
        std::vector<ConfigFile> sent;
        for (const auto& file : controller.applied[0].files())
            sent.push_back({ .name = file.name(), .content = file.content() });
        const auto config = mergeOperatorFolder(sent);
        for (const auto& service : config.services)
            RC_ASSERT(out.str().find("\"name\":\"" + service.name() + "\",\"address\":\"" + service.address() + "\"") != std::string::npos);
    }));
    CHECK(accepted > 0);
    std::filesystem::remove_all(folder);
}
