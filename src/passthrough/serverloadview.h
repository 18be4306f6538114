#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/loadviewcounts.h"
#include "passthrough/types/perceivedload.h"
#include "passthrough/types/serverloadrecord.h"

#include <boost/container/flat_map.hpp>
#include <cstdint>

namespace clementinesill::dataplane {
struct LoadNotice;
}

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::passthrough {

// What a balancer knows about the load of the servers, from the agents' notices and from SYNs without a response. Every entry
// expires by itself, so that a stale or wrong one does little harm; it is lost with the process. Not thread-safe.
class ServerLoadView {
public:
    // The clock must outlive the view.
    explicit ServerLoadView(const IClock& clock);

    // Records a notice. For each level, the newest notice for a server replaces the earlier one: a busy server may still
    // reject new flows of a low priority, so a busy notice does not withdraw a full one. Servers that are not in the table are
    // ignored, so that the table bounds the size of the view.
    void apply(const dataplane::LoadNotice& notice, const fleet::FleetTable& table);

    // Records that a caller retransmitted a SYN that was forwarded to the server.
    void recordUnanswered(std::uint32_t serverId);

    // Records that a SYN was forwarded to the server. After a time without answers, the first such SYN is a probe: further ones
    // avoid the server until the probe would have been retransmitted.
    void recordPlacement(std::uint32_t serverId);

    // Records a sign that the server's agent runs.
    void recordAnswer(std::uint32_t serverId);

    bool empty() const { return m_servers.empty(); }
    MonotonicTime now() const { return m_clock.now(); }

    // Load of the server for a new flow of the priority.
    PerceivedLoad load(std::uint32_t serverId, std::uint32_t priority, MonotonicTime now) const;

    // Looks up servers in ascending order of their ids, in one pass over the view. The view must outlive it unchanged.
    class Lookup {
    public:
        Lookup(const ServerLoadView& view, std::uint32_t priority)
            : m_next(view.m_servers.begin())
            , m_end(view.m_servers.end())
            , m_now(view.now())
            , m_priority(priority)
        {
        }

        // The ids of successive calls must not decrease.
        PerceivedLoad load(std::uint32_t serverId)
        {
            while (m_next != m_end && m_next->first < serverId)
                ++m_next;
            return m_next != m_end && m_next->first == serverId ? m_next->second.load(m_priority, m_now) : PerceivedLoad();
        }

    private:
        boost::container::flat_map<std::uint32_t, ServerLoadRecord>::const_iterator m_next;
        boost::container::flat_map<std::uint32_t, ServerLoadRecord>::const_iterator m_end;
        MonotonicTime m_now;
        std::uint32_t m_priority;
    };

    // The record of a server; null if nothing is known about it.
    const ServerLoadRecord* record(std::uint32_t serverId) const;

    // Number of servers with valid records.
    LoadViewCounts counts() const;

private:
    void prune(const fleet::FleetTable& table, MonotonicTime now);

    const IClock& m_clock;
    // By server id.
    boost::container::flat_map<std::uint32_t, ServerLoadRecord> m_servers;
    std::uint64_t m_tableVersion = 0;
};

} // namespace clementinesill::passthrough
