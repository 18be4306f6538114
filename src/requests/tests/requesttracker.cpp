#include "requests/requesttracker.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill::requests;

// clang-format off
TEST_GROUP(RequestTracker)
{
    RequestTracker tracker;
};
// clang-format on

TEST(RequestTracker, RejectsLateResponseOfAbandonedExchange)
{
    const auto first = tracker.begin();
    CHECK(tracker.bind(first, 1) == BindResult::Bound);
    tracker.markSent(first);
    tracker.abandonExchange(first);
    CHECK(tracker.checkResponse(1, first) == ResponseCheck::NoRequest);
    const auto second = tracker.begin();
    CHECK(tracker.bind(second, 1) == BindResult::Abandoned);
}

TEST(RequestTracker, RejectsResponseForOtherRequest)
{
    const auto first = tracker.begin();
    const auto second = tracker.begin();
    tracker.bind(first, 1);
    tracker.bind(second, 2);
    tracker.markSent(first);
    tracker.markSent(second);
    CHECK(tracker.checkResponse(1, second) == ResponseCheck::WrongRequest);
    CHECK(tracker.checkResponse(2, second) == ResponseCheck::Accepted);
}

// Guards against a late copy of a response that names no exchange, on a connection that carries its second request.
TEST(RequestTracker, ReusedConnectionAcceptsOnlyResponseThatNamesRequest)
{
    const auto first = tracker.begin();
    tracker.bind(first, 1);
    tracker.markSent(first);
    CHECK(tracker.checkResponse(1, 0) == ResponseCheck::Accepted);
    tracker.complete(first);
    const auto second = tracker.begin();
    CHECK(tracker.bind(second, 1) == BindResult::Bound);
    tracker.markSent(second);
    CHECK(tracker.checkResponse(1, 0) == ResponseCheck::WrongRequest);
    CHECK(tracker.checkResponse(1, first) == ResponseCheck::WrongRequest);
    CHECK(tracker.checkResponse(1, second) == ResponseCheck::Accepted);
}

TEST(RequestTracker, SentRequestIsNeverReportedNotRun)
{
    const auto request = tracker.begin();
    CHECK(tracker.outcome(request) == Outcome::NotRun);
    tracker.bind(request, 1);
    tracker.markSent(request);
    tracker.abandonExchange(request);
    // The second exchange sends nothing, but the first may have run the request.
    tracker.bind(request, 2);
    tracker.abandonExchange(request);
    CHECK(tracker.outcome(request) == Outcome::Unknown);
}

TEST(RequestTracker, OutcomeIsCorrectUnderRandomSchedules)
{
    CHECK(rc::check("outcomes and accepted responses agree with what was sent", [] {
        RequestTracker tracker;
        std::set<RequestId> sent;
        std::map<ConnectionId, RequestId> carries;
        std::set<ConnectionId> abandoned;
        std::vector<RequestId> requests { tracker.begin(), tracker.begin(), tracker.begin() };
        std::map<RequestId, ConnectionId> connectionOf;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, ConnectionId>>>(
            rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 3), rc::gen::inRange<ConnectionId>(1, 4)));
        for (const auto& [action, which, connection] : steps) {
            const auto request = requests[static_cast<std::size_t>(which)];
            const auto current = connectionOf[request];
            if (action == 0) {
                const auto result = tracker.bind(request, connection);
                if (abandoned.contains(connection))
                    RC_ASSERT(result == BindResult::Abandoned);
                else if (carries[connection] != 0)
                    RC_ASSERT(result == BindResult::Busy);
                else
                    RC_ASSERT(result == BindResult::Bound);
                if (result == BindResult::Bound) {
                    if (current != 0)
                        abandoned.insert(current);
                    carries[connection] = request;
                    connectionOf[request] = connection;
                }
            } else if (action == 1 && current != 0) {
                tracker.markSent(request);
                sent.insert(request);
            } else if (action == 2) {
                const auto result = tracker.checkResponse(connection, request);
                if (result == ResponseCheck::Accepted) {
                    RC_ASSERT(carries[connection] == request);
                    RC_ASSERT(!abandoned.contains(connection));
                    RC_ASSERT(sent.contains(request));
                }
            } else if (action == 3 && current != 0) {
                tracker.abandonExchange(request);
                abandoned.insert(current);
                connectionOf[request] = 0;
            }
            const auto outcome = tracker.outcome(request);
            RC_ASSERT((outcome == Outcome::NotRun) == !sent.contains(request));
        }
    }));
}
