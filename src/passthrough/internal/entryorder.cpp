#include "passthrough/entryorder.h"

#include "passthrough/types/entrypacket.h"

#include <algorithm>
#include <tuple>

namespace clementinesill::passthrough {

std::size_t orderEntryPackets(std::vector<EntryPacket>& packets)
{
    if (packets.size() < 2)
        return packets.size();
    std::stable_sort(packets.begin(), packets.end(), [](const EntryPacket& left, const EntryPacket& right) {
        const auto key = [](const EntryPacket& entry) {
            const bool opens = entry.packet.opensFlow();
            return std::tuple(opens, opens && entry.packet.synRetransmissions(), opens ? entry.priority : 0);
        };
        return key(left) < key(right);
    });
    const auto firstOpening = std::find_if(packets.begin(), packets.end(), [](const EntryPacket& entry) { return entry.packet.opensFlow(); });
    return std::min(packets.size(), static_cast<std::size_t>(firstOpening - packets.begin()) + maximumOpeningsPerWakeup);
}

} // namespace clementinesill::passthrough
