#include "fleet/controllerorder.h"

#include "fleet/controllerselector.h"
#include "foundation/seededrandom.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <set>

using namespace clementinesill;
using namespace clementinesill::fleet;

namespace {

const std::vector<std::string> endpoints { "10.1.0.1:7300", "10.1.0.2:7300", "10.2.0.1:7300", "10.2.0.2:7300", "10.3.0.1:7300" };

// The controllers that a daemon tries after the first one has failed, as it learns the list again each time.
std::vector<std::string> triedAfterFailure(const std::string& daemon)
{
    SeededRandom random { 1 };
    ControllerSelector selector(orderControllers(endpoints, daemon), random);
    selector.selectIf([](const auto& endpoint) { return endpoint == endpoints.front(); });
    std::vector<std::string> tried;
    for (std::size_t failure = 1; failure < endpoints.size(); ++failure) {
        selector.replaceEndpoints(orderControllers(endpoints, daemon));
        selector.onFailure();
        tried.push_back(selector.current());
    }
    return tried;
}

} // namespace

// clang-format off
TEST_GROUP(ControllerOrder) {};
// clang-format on

TEST(ControllerOrder, DaemonsOfOneFailedControllerSpreadOverTheOthers)
{
    constexpr int daemons = 200;
    std::map<std::string, int> next;
    for (int daemon = 0; daemon < daemons; ++daemon)
        ++next[triedAfterFailure("front-" + std::to_string(daemon)).front()];
    LONGS_EQUAL(endpoints.size() - 1, next.size());
    for (const auto& [endpoint, count] : next)
        CHECK(count > daemons / 8 && count < daemons / 2);
}

TEST(ControllerOrder, EachOtherControllerIsTriedOnce)
{
    const auto tried = triedAfterFailure("front-1");
    LONGS_EQUAL(endpoints.size() - 1, std::set<std::string>(tried.begin(), tried.end()).size());
}
