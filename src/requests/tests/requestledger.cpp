#include "requests/requestledger.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill::requests;

// clang-format off
TEST_GROUP(RequestLedger)
{
    RequestLedger ledger;
};
// clang-format on

TEST(RequestLedger, LateAnswerOfAGivenUpExchangeIsRefused)
{
    const auto first = ledger.begin();
    CHECK(ledger.bind(first, 1) == BindVerdict::Bound);
    ledger.handOver(first);
    ledger.giveUp(first);
    CHECK(ledger.answer(1, first) == AnswerVerdict::NoRequest);
    const auto second = ledger.begin();
    CHECK(ledger.bind(second, 1) == BindVerdict::Lost);
}

TEST(RequestLedger, CrossedAnswerIsRefused)
{
    const auto first = ledger.begin();
    const auto second = ledger.begin();
    ledger.bind(first, 1);
    ledger.bind(second, 2);
    ledger.handOver(first);
    ledger.handOver(second);
    CHECK(ledger.answer(1, second) == AnswerVerdict::WrongRequest);
    CHECK(ledger.answer(2, second) == AnswerVerdict::Deliver);
}

TEST(RequestLedger, HandedOverOnceIsNeverNotRun)
{
    const auto request = ledger.begin();
    CHECK(ledger.outcome(request) == Outcome::NotRun);
    ledger.bind(request, 1);
    ledger.handOver(request);
    ledger.giveUp(request);
    // The second exchange hands over nothing, but the first may have run.
    ledger.bind(request, 2);
    ledger.giveUp(request);
    CHECK(ledger.outcome(request) == Outcome::Unknown);
}

TEST(RequestLedger, OutcomeNeverLiesOverRandomSchedules)
{
    CHECK(rc::check("outcome and answers follow what was handed over", [] {
        RequestLedger ledger;
        std::set<RequestId> handedOver;
        std::map<ConnectionId, RequestId> carries;
        std::set<ConnectionId> lost;
        std::vector<RequestId> requests { ledger.begin(), ledger.begin(), ledger.begin() };
        std::map<RequestId, ConnectionId> connectionOf;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, ConnectionId>>>(
            rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 3), rc::gen::inRange<ConnectionId>(1, 4)));
        for (const auto& [action, which, connection] : steps) {
            const auto request = requests[static_cast<std::size_t>(which)];
            const auto current = connectionOf[request];
            if (action == 0) {
                const auto verdict = ledger.bind(request, connection);
                if (lost.contains(connection))
                    RC_ASSERT(verdict == BindVerdict::Lost);
                else if (carries[connection] != 0)
                    RC_ASSERT(verdict == BindVerdict::Busy);
                else
                    RC_ASSERT(verdict == BindVerdict::Bound);
                if (verdict == BindVerdict::Bound) {
                    if (current != 0)
                        lost.insert(current);
                    carries[connection] = request;
                    connectionOf[request] = connection;
                }
            } else if (action == 1 && current != 0) {
                ledger.handOver(request);
                handedOver.insert(request);
            } else if (action == 2) {
                const auto verdict = ledger.answer(connection, request);
                if (verdict == AnswerVerdict::Deliver) {
                    RC_ASSERT(carries[connection] == request);
                    RC_ASSERT(!lost.contains(connection));
                    RC_ASSERT(handedOver.contains(request));
                }
            } else if (action == 3 && current != 0) {
                ledger.giveUp(request);
                lost.insert(current);
                connectionOf[request] = 0;
            }
            const auto outcome = ledger.outcome(request);
            RC_ASSERT((outcome == Outcome::NotRun) == !handedOver.contains(request));
        }
    }));
}
