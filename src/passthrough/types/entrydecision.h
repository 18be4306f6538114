#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementinesill::fleet {
struct ServerEntry;
}

namespace clementinesill::passthrough {

enum class EntryAction {
    Forward,
    // Reject the new flow with a reset to the caller.
    Reset,
    Drop,
};

enum class EntryReason {
    // New flow: the first accepting server in the zone's ranking.
    FirstAccepting,
    // Retransmitted SYN: an accepting server after the one that did not respond.
    NextAccepting,
    CacheHit,
    // The flow is not in the cache: the first server in the zone's ranking.
    FirstInRank,
    // The entry link has no room for the packet's class.
    NoLinkBudget,
    // More openings arrived in one wake-up than are handled.
    BatchFull,
    NoTable,
    NoRoute,
    NoServer,
    // New flow: the first accepting server in the order of load, zone and rank; see EntryRouter.
    LeastLoaded,
    // Every accepting server is full for the route's priority.
    ServiceFull,
};
constexpr std::size_t entryReasonCount = 11;

std::string_view name(EntryReason reason);

// What a balancer does with a caller's packet, and why.
struct EntryDecision {
    EntryAction action = EntryAction::Drop;
    EntryReason reason = EntryReason::NoTable;
    // For Forward; points into the table that was passed to the router.
    const fleet::ServerEntry* server = nullptr;
    bool opensFlow = false;
    bool fromCache = false;
};

} // namespace clementinesill::passthrough
