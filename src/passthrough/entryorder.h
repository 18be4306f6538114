#pragma once

#include <cstddef>
#include <vector>

namespace clementinesill::passthrough {

struct EntryPacket;

// Openings that a balancer places per wake-up. While the daemon handles them, the kernel queues further datagrams and drops
// some at random once its buffer is full; with 64, that takes about as long as before packets were ordered.
constexpr std::size_t maximumOpeningsPerWakeup = 64;

// Sorts the packets read in one wake-up by the order in which to handle them: those of open flows, first SYNs by priority,
// retransmitted SYNs; in order of arrival among equals. Returns the number of packets within maximumOpeningsPerWakeup; the
// others are openings to reject.
std::size_t orderEntryPackets(std::vector<EntryPacket>& packets);

} // namespace clementinesill::passthrough
