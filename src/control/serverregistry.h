#pragma once

#include "log.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinesill::control {

// Records and incarnations of all announced servers. Records of removed servers are kept up to a limit.
class ServerRegistry {
public:
    enum class Status {
        Unchanged,
        Changed,
        // The boot id belongs to an earlier start of the agent, which a newer one has replaced.
        Replaced,
        // The server does not exist, is removed or has another incarnation.
        Unknown,
    };

    struct UpdateResult {
        Status status = Status::Unchanged;
        std::uint32_t serverId = 0;
        std::uint32_t incarnation = 0;
        // Servers that were removed because the announced server now uses their agent endpoint.
        std::vector<std::uint32_t> displaced;
    };

    UpdateResult announce(const schema::ServerAnnouncement& announcement, std::uint32_t serviceId);
    UpdateResult leave(const schema::LeaveRequest& request);
    UpdateResult transition(const schema::ServerTransition& transition);

    // Drains or resumes all servers with the name and returns their ids; empty if no server in the table has the name.
    std::vector<std::uint32_t> drain(const std::string& name, bool resume);

    // Ids of the services that have a server in the table.
    std::set<std::uint32_t> servicesWithServers() const;

    // Null if no server has the id.
    const schema::ServerRecord* find(std::uint32_t id) const;
    const std::map<std::uint32_t, schema::ServerRecord>& records() const { return m_records; }

    std::uint32_t nextId() const { return m_nextId; }
    void restore(std::vector<schema::ServerRecord> records, std::uint32_t nextId);

private:
    using NameKey = std::pair<std::uint32_t, std::string>;

    schema::ServerRecord& findOrCreateRecord(const schema::ServerAnnouncement& announcement, std::uint32_t serviceId);
    schema::ServerRecord* findInTable(std::uint32_t id, std::uint32_t incarnation);
    void remove(schema::ServerRecord& record);
    std::vector<std::uint32_t> claimEndpoint(schema::ServerRecord& record);
    void evictRemovedRecords();

    std::uint32_t m_nextId = 1;
    std::size_t m_removedCount = 0;
    std::map<std::uint32_t, schema::ServerRecord> m_records;
    std::map<NameKey, std::uint32_t> m_byName;
    // Ids of the servers in the table, keyed by the endpoint of their agent.
    std::unordered_map<std::string, std::uint32_t> m_byEndpoint;
};

} // namespace clementinesill::control
