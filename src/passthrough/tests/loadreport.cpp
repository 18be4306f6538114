#include "passthrough/loadreport.h"

#include "passthrough/tests/packets.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/search.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

constexpr std::chrono::milliseconds testFullValidity { 120 };

Search searchAfter(std::initializer_list<std::uint32_t> visited)
{
    Search search;
    search.visited = visited;
    return search;
}

} // namespace

// clang-format off
TEST_GROUP(LoadReport) {};
// clang-format on

// Balancers kept sending SYNs to servers that were busy a millisecond ago.
TEST(LoadReport, OpenedFlowReportsVisitedServersAsBusy)
{
    const auto notice = makeLoadNotice({ .action = RelayAction::Open, .reason = RelayReason::Admitted }, searchAfter({ 2, 3 }), synPacket(), 1, 2, testFullValidity);
    CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Busy, .validity = std::chrono::milliseconds(50), .servers = { 2, 3 } }));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Open, .reason = RelayReason::Admitted }, searchAfter({}), synPacket(), 1, 2, testFullValidity));
}

// The notice is sent when the search ends, not when the held SYN is delivered, since it would be out of date then.
TEST(LoadReport, HeldSynReportsOwnServerAsBusyToo)
{
    const auto notice = makeLoadNotice({ .action = RelayAction::Wait, .reason = RelayReason::WaitsForSlot }, searchAfter({ 2 }), synPacket(), 1, 2, testFullValidity);
    CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Busy, .validity = std::chrono::milliseconds(50), .servers = { 2, 1 } }));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Open, .reason = RelayReason::AdmittedAfterWait }, searchAfter({ 2 }), synPacket(), 1, 2, testFullValidity));
}

// Every rejected SYN repeated the search of the one before it.
TEST(LoadReport, RejectedSynReportsServersAsFullForItsPriority)
{
    const auto notice = makeLoadNotice({ .action = RelayAction::Reset, .reason = RelayReason::RejectedByAllServers }, searchAfter({ 2, 3 }), synPacket(), 1, 2, testFullValidity);
    CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Full, .priority = 2, .validity = testFullValidity, .servers = { 2, 3, 1 } }));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Reset, .reason = RelayReason::WaitExpired }, searchAfter({ 2, 3 }), synPacket(), 1, 2, testFullValidity));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Reset, .reason = RelayReason::NoRoute }, searchAfter({ 2, 3 }), synPacket(), 1, 2, testFullValidity));
}

// A retransmission is not held, so its rejection must not keep balancers from placing SYNs that may wait.
TEST(LoadReport, RejectedRetransmissionReportsServersAsBusy)
{
    for (const auto reason : { RelayReason::RejectedByAllServers, RelayReason::RetransmissionNotPlaced }) {
        const auto notice = makeLoadNotice({ .action = RelayAction::Drop, .reason = reason }, searchAfter({ 2 }), synPacket(1, 1), 1, 2, testFullValidity);
        CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Busy, .validity = std::chrono::milliseconds(50), .servers = { 2, 1 } }));
    }
}

// With a fixed time, 22 balancers offered each full server several times as many SYNs as it could take, and the rejected ones
// used up the entry links; a single balancer left servers without work.
TEST(LoadReport, BalancersTogetherOfferOneSynPerStart)
{
    CHECK(std::chrono::milliseconds(22 * 13) == fullValidity(22, std::chrono::milliseconds(13)));
    CHECK(std::chrono::milliseconds(25) == fullValidity(1, std::chrono::milliseconds(13)));
    CHECK(dataplane::maximumNoticeValidity == fullValidity(91, std::chrono::milliseconds(30)));
}
