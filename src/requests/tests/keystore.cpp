#include "requests/keystore.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::requests;

// clang-format off
TEST_GROUP(KeyStore)
{
    ManualClock clock;
};
// clang-format on

TEST(KeyStore, ReplaysResponseForSameRequestOnly)
{
    KeyStore store({}, clock);
    CHECK(store.begin("k", 1) == KeyLookupResult::New);
    CHECK(store.begin("k", 1) == KeyLookupResult::InProgress);
    CHECK(store.begin("k", 2) == KeyLookupResult::Mismatch);
    store.markCompleted("k", { 3, 9 }, StoredResponse { .status = 201, .body = "made" });
    CHECK(store.begin("k", 1) == KeyLookupResult::ResponseStored);
    CHECK(store.findResponse("k", { 3, 8 }) == nullptr);
    CHECK(store.findResponse("k", { 3, 9 })->body == "made");
}

TEST(KeyStore, RerunsReleasedKeyButNotOneWithUnknownOutcome)
{
    KeyStore store({}, clock);
    store.begin("k", 1);
    store.release("k");
    CHECK(store.begin("k", 1) == KeyLookupResult::New);
    store.markUnknown("k");
    store.release("k");
    CHECK(store.begin("k", 1) == KeyLookupResult::OutcomeUnknown);
}

TEST(KeyStore, NeverRunsKeyTwiceAndStaysBounded)
{
    CHECK(rc::check("a key that ran or may have run is not run again within the retention", [] {
        ManualClock clock;
        const KeyStoreOptions options { .maxKeys = 5, .maxResponseBytes = 400, .maxTotalResponseBytes = 1000, .retention = std::chrono::seconds(20) };
        KeyStore store(options, clock);
        std::map<std::string, MonotonicTime> ran;
        std::map<std::string, bool> running;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 6)));
        for (const auto& [which, action] : steps) {
            const auto key = std::to_string(which);
            if (action <= 1) {
                if (store.begin(key, 7) == KeyLookupResult::New) {
                    RC_ASSERT(!running[key]);
                    RC_ASSERT(!ran.contains(key) || clock.now() - ran[key] >= options.retention);
                    running[key] = true;
                }
            } else if (action == 5) {
                clock.advance(std::chrono::seconds(3));
            } else if (running[key]) {
                if (action == 2)
                    store.markCompleted(key, {}, StoredResponse { .body = std::string(static_cast<std::size_t>(which) * 50, 'x') });
                if (action == 3)
                    store.markUnknown(key);
                if (action == 4)
                    store.release(key);
                else
                    ran[key] = clock.now();
                running[key] = false;
            }
            RC_ASSERT(store.size() <= options.maxKeys);
            RC_ASSERT(store.responseBytes() <= options.maxTotalResponseBytes);
        }
    }));
}
