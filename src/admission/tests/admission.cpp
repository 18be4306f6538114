#include "admission/admission.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::admission;

// clang-format off
TEST_GROUP(Admission) {};
// clang-format on

TEST(Admission, NeverExceedsOrLeaksSlotsOrConnections)
{
    CHECK(rc::check("requests and flows stay within their limits in random schedules", [] {
        ManualClock clock;
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 9);
        const auto connections = *rc::gen::inRange<std::uint32_t>(1, 40);
        Admission admission({ .slots = slots, .connectionLimit = connections }, clock);
        std::uint32_t requests = 0;
        std::uint32_t flows = 0;
        const auto actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
        for (const auto action : actions) {
            const auto limit = admission.load().limit;
            RC_ASSERT(limit >= 1 && limit <= slots);
            clock.advance(std::chrono::milliseconds(100));
            if (action <= 1 && admission.admitFlow().admitted()) {
                ++flows;
                RC_ASSERT(flows <= connections);
            } else if (action <= 3 && admission.admitRequest().admitted()) {
                ++requests;
                RC_ASSERT(requests <= limit);
            } else if (action == 4 && flows > 0) {
                admission.releaseFlow();
                --flows;
            } else if (action >= 5 && requests > 0) {
                const auto outcome = static_cast<RequestOutcome>(*rc::gen::inRange(0, 5));
                admission.finishRequest({ .outcome = outcome, .latency = std::chrono::milliseconds(5) });
                --requests;
            }
            RC_ASSERT(admission.load().requests == requests);
            RC_ASSERT(admission.load().flows == flows);
        }
    }));
}

TEST(Admission, RejectsFlowAtConnectionLimit)
{
    ManualClock clock;
    Admission admission({ .connectionLimit = 10, .warmupOff = true }, clock);
    for (int index = 0; index < 10; ++index)
        CHECK(admission.admitFlow().admitted());
    CHECK(admission.admitFlow().reason == AdmissionReason::ConnectionLimit);
    admission.releaseFlow();
    CHECK(admission.admitFlow().admitted());
}

TEST(Admission, LimitsConnectionsOfColdServer)
{
    ManualClock clock;
    Admission admission({ .slots = 5, .connectionLimit = 10 }, clock);
    CHECK(admission.admitFlow().admitted());
    CHECK(admission.admitFlow().admitted());
    CHECK(admission.admitFlow().reason == AdmissionReason::WarmupLimit);
}

TEST(Admission, RejectsFlowsAndRequestsWhileDraining)
{
    ManualClock clock;
    Admission admission({}, clock);
    CHECK(admission.admitRequest().admitted());
    admission.drain();
    CHECK(admission.admitFlow().reason == AdmissionReason::Draining);
    const auto rejected = admission.admitRequest();
    CHECK(rejected.reason == AdmissionReason::Draining);
    CHECK(rejected.retryAfter > std::chrono::milliseconds(0));
    admission.finishRequest({});
    CHECK_EQUAL(0U, admission.load().requests);
}
