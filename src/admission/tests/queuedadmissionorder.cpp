#include "admission/admission.h"
#include "admission/queuedadmission.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::admission;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(QueuedAdmissionOrder)
{
    ManualClock clock;
    Admission admission { { .slots = 1, .warmupOff = true }, clock };
    QueuedAdmission queued { admission, { .maximumLength = 2 }, clock };

    QueueingDecision submit(std::uint32_t priority, Duration remaining = 1s)
    {
        return queued.submit({ .priority = priority, .targetTime = clock.now() + remaining, .latestStart = clock.now() + remaining });
    }

    QueuedRequest wait(std::uint32_t priority, Duration remaining = 1s) { return submit(priority, remaining).queuedRequest.value(); }

    std::uint64_t finish(Duration slotTime = 0ms)
    {
        const auto outcomes = queued.finish({ .slotTime = slotTime });
        CHECK_EQUAL(1U, outcomes.size());
        CHECK(outcomes[0].decision.admitted());
        return outcomes[0].id;
    }
};
// clang-format on

// Guards against the two bounds of the wait, and the caller's own, being lost.
TEST(QueuedAdmissionOrder, BoundsTheWait)
{
    CHECK(submit(1).decision.admitted());
    CHECK(wait(1, 70ms).maximumWait == 70ms);
    // The queue is never empty and each request waits for 60 ms: a standing queue.
    auto last = wait(1);
    CHECK(last.maximumWait == 100ms);
    for (int index = 0; index < 8; ++index) {
        clock.advance(30ms);
        finish();
        last = wait(1);
    }
    CHECK(last.maximumWait == 40ms);
}

// Guards against requests that wait in order of arrival, and against a request that is displaced but not rejected.
TEST(QueuedAdmissionOrder, HigherPriorityGoesFirstAndDisplacesLower)
{
    submit(1);
    const auto first = wait(1);
    const auto second = wait(1);
    CHECK(submit(1).decision.reason == AdmissionReason::QueueTooLong);
    const auto added = submit(0);
    CHECK_EQUAL(1U, added.displaced.size());
    CHECK(added.displaced[0].id == second.id);
    CHECK(added.displaced[0].decision.reason == AdmissionReason::QueueTooLong);
    CHECK(added.displaced[0].decision.retryAfter >= 1s);
    CHECK(finish() == added.queuedRequest->id);
    CHECK(finish() == first.id);
    CHECK_EQUAL(0U, queued.queued());
}

// Guards against requests that wait although the measured time of a slot shows that their turn comes too late.
TEST(QueuedAdmissionOrder, RejectsRequestWhoseTurnComesTooLate)
{
    submit(1);
    wait(1);
    finish(150ms);
    wait(1);
    CHECK(submit(1).decision.reason == AdmissionReason::QueueTooLong);
    CHECK_EQUAL(1U, queued.queued());
}

// Guards against a slot that is counted as used by a request that was not admitted.
TEST(QueuedAdmissionOrder, RejectsWaitingRequestsWhileDraining)
{
    submit(1);
    wait(1);
    wait(1);
    admission.drain();
    const auto outcomes = queued.finish({});
    CHECK_EQUAL(2U, outcomes.size());
    for (const auto& outcome : outcomes)
        CHECK(outcome.decision.reason == AdmissionReason::Draining);
    CHECK_EQUAL(0U, admission.load().requests);
}

// Guards against a slot that stays idle while requests arrive, because an expired one still waits beside it.
TEST(QueuedAdmissionOrder, FreeSlotIsUsedAlthoughExpiredRequestWaits)
{
    submit(1);
    const auto late = wait(1);
    clock.advance(late.maximumWait + 1ms);
    CHECK(queued.finish({}).empty());
    CHECK(queued.submit({ .priority = 1, .latestStart = clock.now() + 1s }).decision.admitted());
    CHECK_EQUAL(1U, admission.load().requests);
}

// Guards against a request that is admitted by finish after its maximum wait and again by dequeue.
TEST(QueuedAdmissionOrder, AdmitsExpiredRequestOnlyThroughDequeue)
{
    submit(1);
    const auto late = wait(1);
    clock.advance(late.maximumWait + 1ms);
    CHECK(queued.finish({}).empty());
    CHECK(queued.dequeue(late.id).admitted());
    CHECK_EQUAL(1U, admission.load().requests);
    CHECK_EQUAL(0U, queued.queued());
}
