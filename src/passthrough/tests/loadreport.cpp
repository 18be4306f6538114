#include "passthrough/loadreport.h"

#include "passthrough/tests/packets.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/search.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

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
    const auto notice = makeLoadNotice({ .action = RelayAction::Open, .reason = RelayReason::Admitted }, searchAfter({ 2, 3 }), synPacket(), 1, 2);
    CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Busy, .validity = std::chrono::milliseconds(50), .servers = { 2, 3 } }));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Open, .reason = RelayReason::Admitted }, searchAfter({}), synPacket(), 1, 2));
}

// The notice is sent when the search ends, not when the held SYN is delivered, since it would be out of date then.
TEST(LoadReport, HeldSynReportsOwnServerAsBusyToo)
{
    const auto notice = makeLoadNotice({ .action = RelayAction::Wait, .reason = RelayReason::WaitsForSlot }, searchAfter({ 2 }), synPacket(), 1, 2);
    CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Busy, .validity = std::chrono::milliseconds(50), .servers = { 2, 1 } }));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Open, .reason = RelayReason::AdmittedAfterWait }, searchAfter({ 2 }), synPacket(), 1, 2));
}

// Every rejected SYN repeated the search of the one before it.
TEST(LoadReport, RejectedSynReportsServersAsFullForItsPriority)
{
    const auto notice = makeLoadNotice({ .action = RelayAction::Reset, .reason = RelayReason::RejectedByAllServers }, searchAfter({ 2, 3 }), synPacket(), 1, 2);
    CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Full, .priority = 2, .validity = std::chrono::milliseconds(100), .servers = { 2, 3, 1 } }));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Reset, .reason = RelayReason::WaitExpired }, searchAfter({ 2, 3 }), synPacket(), 1, 2));
    CHECK_FALSE(makeLoadNotice({ .action = RelayAction::Reset, .reason = RelayReason::NoRoute }, searchAfter({ 2, 3 }), synPacket(), 1, 2));
}

// A retransmission is not held, so its rejection must not keep balancers from placing SYNs that may wait.
TEST(LoadReport, RejectedRetransmissionReportsServersAsBusy)
{
    for (const auto reason : { RelayReason::RejectedByAllServers, RelayReason::RetransmissionNotPlaced }) {
        const auto notice = makeLoadNotice({ .action = RelayAction::Drop, .reason = reason }, searchAfter({ 2 }), synPacket(1, 1), 1, 2);
        CHECK(notice == dataplane::LoadNotice({ .level = dataplane::LoadLevel::Busy, .validity = std::chrono::milliseconds(50), .servers = { 2, 1 } }));
    }
}
