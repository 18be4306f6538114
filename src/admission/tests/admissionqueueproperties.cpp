#include "admission/admissionqueue.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::admission;
using namespace std::chrono_literals;

namespace {

// A waiting request as the test knows it.
struct Waiting {
    std::uint64_t id = 0;
    QueueTraits traits;
    MonotonicTime arrivedAt;
};

// The order as docs/hard-load.md describes it, one criterion after the other.
bool comesBefore(const Waiting& left, const Waiting& right, MonotonicTime now)
{
    const auto level = [now](const Waiting& request) {
        const auto waited = now - request.arrivedAt;
        return static_cast<int>(request.traits.priority) - (waited > 0ms && 2 * waited >= request.traits.latestStart - request.arrivedAt ? 1 : 0);
    };
    if (level(left) != level(right))
        return level(left) < level(right);
    const auto onTime = [now](const Waiting& request) { return now + request.traits.expectedWork <= request.traits.targetTime; };
    if (onTime(left) != onTime(right))
        return onTime(left);
    const auto magnitude = [](const Waiting& request) { return std::floor(std::log2(std::chrono::duration<double, std::micro>(request.traits.expectedWork).count())); };
    if (magnitude(left) != magnitude(right))
        return magnitude(left) < magnitude(right);
    if (left.traits.targetTime != right.traits.targetTime)
        return left.traits.targetTime < right.traits.targetTime;
    return left.id < right.id;
}

// Runs random calls on a queue and checks each result against the requests that should be waiting.
class Checker {
public:
    void push(bool endless)
    {
        const auto now = m_clock.now();
        const QueueTraits traits {
            .priority = *rc::gen::inRange<std::uint32_t>(0, 4),
            .expectedWork = std::chrono::milliseconds(*rc::gen::inRange(1, 200)),
            .targetTime = now + std::chrono::milliseconds(*rc::gen::inRange(0, 400)),
            .latestStart = now + (endless ? Duration(1h) : std::chrono::milliseconds(*rc::gen::inRange(0, 150))),
        };
        const Duration readyIn = std::chrono::milliseconds(*rc::gen::inRange(0, 20));
        const Duration timePerStart = std::chrono::milliseconds(*rc::gen::inRange(0, 30));
        Waiting added { .id = ~std::uint64_t { 0 }, .traits = traits, .arrivedAt = now };
        const auto ahead = std::ranges::count_if(m_waiting, [&](const auto& entry) { return entry.second.traits.latestStart >= now && comesBefore(entry.second, added, now); });
        const auto wait = readyIn + ahead * timePerStart;
        RC_ASSERT(m_queue.expectedWait(traits, readyIn, timePerStart) == wait);
        const auto result = m_queue.push(traits, readyIn, timePerStart);
        RC_ASSERT(result.id.has_value() == (static_cast<std::size_t>(ahead) < maximumLength && now + wait <= traits.latestStart));
        RC_ASSERT(result.id || result.displaced.empty());
        if (!result.id)
            return;
        RC_ASSERT(!m_ended.contains(*result.id) && !m_waiting.contains(*result.id));
        added.id = *result.id;
        std::vector<Waiting> displaced;
        for (const auto id : result.displaced)
            displaced.push_back(end(id));
        m_waiting.emplace(added.id, added);
        checkDisplaced(displaced, added, readyIn, timePerStart);
    }

    void pop()
    {
        const auto now = m_clock.now();
        const auto id = m_queue.pop();
        if (!id) {
            RC_ASSERT(std::ranges::all_of(m_waiting, [&](const auto& entry) { return entry.second.traits.latestStart < now; }));
            return;
        }
        const auto popped = end(*id);
        RC_ASSERT(popped.traits.latestStart >= now);
        for (const auto& [other, waiting] : m_waiting)
            RC_ASSERT(waiting.traits.latestStart < now || comesBefore(popped, waiting, now));
    }

    void takeExpired()
    {
        for (const auto id : m_queue.takeExpired())
            RC_ASSERT(end(id).traits.latestStart <= m_clock.now());
        RC_ASSERT(std::ranges::all_of(m_waiting, [&](const auto& entry) { return entry.second.traits.latestStart > m_clock.now(); }));
    }

    void remove()
    {
        const auto id = *rc::gen::inRange<std::uint64_t>(0, 40);
        const auto removed = m_queue.remove(id);
        RC_ASSERT(removed == m_waiting.contains(id));
        if (removed)
            end(id);
    }

    void wait() { m_clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 60))); }

    void checkSize() const
    {
        RC_ASSERT(m_queue.size() == m_waiting.size());
        RC_ASSERT(m_queue.size() <= maximumLength);
    }

private:
    static constexpr std::size_t maximumLength = 6;

    // Fails if the request was returned before or is unknown.
    Waiting end(std::uint64_t id)
    {
        const auto found = m_waiting.extract(id);
        RC_ASSERT(!found.empty());
        m_ended.insert(id);
        return found.mapped();
    }

    void checkDisplaced(const std::vector<Waiting>& displaced, const Waiting& added, Duration readyIn, Duration timePerStart) const
    {
        const auto now = m_clock.now();
        const auto placeOf = [&](const Waiting& request) { return std::ranges::count_if(m_waiting, [&](const auto& entry) { return comesBefore(entry.second, request, now); }); };
        const auto startsInTime = [&](const Waiting& request) { return now + readyIn + placeOf(request) * timePerStart <= request.traits.latestStart; };
        for (const auto& [id, kept] : m_waiting)
            RC_ASSERT(comesBefore(kept, added, now) || startsInTime(kept));
        for (const auto& request : displaced) {
            const auto isExpired = request.traits.latestStart < now;
            RC_ASSERT(isExpired || comesBefore(added, request, now));
            // One that could start in time is displaced only by length, and then comes after all that were kept.
            if (!isExpired && startsInTime(request))
                RC_ASSERT(static_cast<std::size_t>(placeOf(request)) == maximumLength);
        }
    }

    ManualClock m_clock;
    AdmissionQueue m_queue { { .maximumLength = maximumLength }, m_clock };
    std::map<std::uint64_t, Waiting> m_waiting;
    // Requests that were returned as popped, displaced, expired or removed.
    std::set<std::uint64_t> m_ended;
};

void checkRandomCalls(bool endless)
{
    Checker checker;
    const auto calls = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const auto call : calls) {
        if (call <= 5)
            checker.push(endless);
        else if (call == 6)
            checker.pop();
        else if (call == 7)
            checker.takeExpired();
        else if (call == 8)
            checker.remove();
        else
            checker.wait();
        checker.checkSize();
    }
}

} // namespace

// clang-format off
TEST_GROUP(AdmissionQueueProperties) {};
// clang-format on

// Guards against a request that is returned twice, or both admitted and rejected, and against an order or a choice of the
// displaced that differs from the work order's.
TEST(AdmissionQueueProperties, ReturnsEachRequestOnceAndDisplacesOnlyThoseBehind)
{
    CHECK(rc::check("random calls with short waits", [] { checkRandomCalls(false); }));
}

// Without a bound on the wait only the length displaces: the displaced come after all that are kept.
TEST(AdmissionQueueProperties, DisplacesTheLastInTheOrderByLength)
{
    CHECK(rc::check("random calls without a bound on the wait", [] { checkRandomCalls(true); }));
}
