#pragma once

#include "log.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinesill::control {

// Records of all servers that were ever announced and are still remembered, with their incarnations.
class ServerRegistry {
public:
    enum class Verdict {
        Unchanged,
        Changed,
        // The start was replaced by a newer one.
        Replaced,
        // No such server, or another incarnation.
        Unknown,
    };

    struct Change {
        Verdict verdict = Verdict::Unchanged;
        std::uint32_t serverId = 0;
        std::uint32_t incarnation = 0;
        // Servers whose agent endpoint was taken over.
        std::vector<std::uint32_t> displaced;
    };

    Change announce(const schema::ServerAnnouncement& announcement, std::uint32_t serviceId);
    Change leave(const schema::LeaveRequest& request);
    Change transition(const schema::ServerTransition& transition);

    // Drains or resumes every server of the name; empty if none has it.
    std::vector<std::uint32_t> drain(const std::string& name, bool resume);

    // Removes all servers of the service from the table for good.
    std::vector<std::uint32_t> removeService(std::uint32_t serviceId);

    // Null if no server has the id.
    const schema::ServerRecord* find(std::uint32_t id) const;
    const std::map<std::uint32_t, schema::ServerRecord>& records() const { return m_records; }

    std::uint32_t nextId() const { return m_nextId; }
    void restore(std::vector<schema::ServerRecord> records, std::uint32_t nextId);

private:
    using NameKey = std::pair<std::uint32_t, std::string>;

    schema::ServerRecord& recordFor(const schema::ServerAnnouncement& announcement, std::uint32_t serviceId);
    schema::ServerRecord* current(std::uint32_t id, std::uint32_t incarnation);
    void remove(schema::ServerRecord& record);
    std::vector<std::uint32_t> takeEndpoint(schema::ServerRecord& record);
    void forgetOldest();

    std::uint32_t m_nextId = 1;
    std::size_t m_removedCount = 0;
    std::map<std::uint32_t, schema::ServerRecord> m_records;
    std::map<NameKey, std::uint32_t> m_byName;
    // Servers in the table by the endpoint of their agent.
    std::unordered_map<std::string, std::uint32_t> m_byEndpoint;
};

} // namespace clementinesill::control
