#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementinesill::passthrough {

// Flows whose SYN this balancer has reset recently. The retransmission of such a SYN may be reset as well; that of any other SYN
// may not, since a server may have got the SYN through this balancer or another one. Bounded: a newer flow may replace an
// earlier one, whose retransmission is then forwarded.
class RecentRejections {
public:
    RecentRejections()
        : m_flowHashes(slots)
    {
    }

    void record(std::uint64_t flowHash) { slot(flowHash) = flowHash; }

    // Called when a SYN of the flow is forwarded.
    void erase(std::uint64_t flowHash)
    {
        if (contains(flowHash))
            slot(flowHash) = 0;
    }

    bool contains(std::uint64_t flowHash) const { return m_flowHashes[flowHash % slots] == flowHash; }

private:
    // Covers the 600 ms until the last retransmission at some thousand rejections per second; 64 KB.
    static constexpr std::size_t slots = 8192;

    std::uint64_t& slot(std::uint64_t flowHash) { return m_flowHashes[flowHash % slots]; }

    std::vector<std::uint64_t> m_flowHashes;
};

} // namespace clementinesill::passthrough
