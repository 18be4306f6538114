#include "admission/admission.h"
#include "admission/queuedadmission.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::admission;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(QueuedAdmissionProperties) {};
// clang-format on

// Guards against a request with two outcomes or none, and against a slot that is used twice or never freed.
TEST(QueuedAdmissionProperties, EndsEachWaitOnce)
{
    CHECK(rc::check("every queued request is admitted or rejected once", [] {
        ManualClock clock;
        Admission admission({ .slots = 2, .warmupOff = true }, clock);
        QueuedAdmission queued(admission, { .maximumLength = 3 }, clock);
        std::set<std::uint64_t> waiting;
        std::uint32_t running = 0;
        const auto end = [&](std::uint64_t id, const AdmissionDecision& decision) {
            RC_ASSERT(waiting.erase(id) == 1U);
            running += decision.admitted() ? 1 : 0;
        };
        const auto actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
        for (const auto action : actions) {
            clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 40)));
            if (action < 10) {
                const auto due = clock.now() + std::chrono::milliseconds(*rc::gen::inRange(0, 200));
                const auto result = queued.submit({ .priority = *rc::gen::inRange<std::uint32_t>(0, 2), .targetTime = due, .latestStart = due });
                for (const auto& outcome : result.displaced) {
                    RC_ASSERT(!outcome.decision.admitted());
                    end(outcome.id, outcome.decision);
                }
                if (result.queuedRequest)
                    RC_ASSERT(waiting.insert(result.queuedRequest->id).second);
                else
                    running += result.decision.admitted() ? 1 : 0;
            } else if (action < 16 && running > 0) {
                --running;
                for (const auto& outcome : queued.finish({ .slotTime = std::chrono::milliseconds(*rc::gen::inRange(0, 100)) }))
                    end(outcome.id, outcome.decision);
            } else if (action < 19 && !waiting.empty()) {
                const auto id = *waiting.begin();
                end(id, queued.dequeue(id));
            } else if (action == 19 && *rc::gen::inRange(0, 5) == 0) {
                admission.drain();
            }
            RC_ASSERT(running <= 2U);
            RC_ASSERT(admission.load().requests == running);
            RC_ASSERT(queued.queued() == waiting.size());
        }
    }));
}
