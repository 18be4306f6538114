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
    // Tell the caller that the flow is not opened.
    Reset,
    Drop,
};

enum class EntryReason {
    // A new flow: the first server in the order of its zone that takes new flows.
    FirstAccepting,
    // A copy of an opening packet: the server after the one that did not answer.
    NextAccepting,
    CacheHit,
    // A flow that is not remembered: the first server in the order of its zone.
    FirstInRank,
    NoTable,
    NoRoute,
    NoServer,
};
constexpr std::size_t entryReasons = 7;

std::string_view name(EntryReason reason);

// What a balancer does with a caller's packet and why.
struct EntryDecision {
    EntryAction action = EntryAction::Drop;
    EntryReason reason = EntryReason::NoTable;
    // For Forward; views the table that decided.
    const fleet::ServerEntry* server = nullptr;
    bool opensFlow = false;
    bool fromCache = false;
};

} // namespace clementinesill::passthrough
