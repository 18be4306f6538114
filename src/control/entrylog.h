#pragma once

#include "log.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace clementinesill::control {

class ILogStorage;

// The entries a controller holds in memory, over their durable copy. Entries up to the base are gone; the snapshot stands
// for them.
class EntryLog {
public:
    explicit EntryLog(ILogStorage& storage)
        : m_storage(storage)
    {
    }

    // Takes over what the storage held.
    void load(schema::SnapshotRecord snapshot, std::vector<schema::LogEntry> entries);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return *termAt(lastIndex()); }
    // Highest index that is durable.
    std::uint64_t syncedIndex() const { return m_syncedIndex; }
    const schema::SnapshotRecord& snapshot() const { return m_snapshot; }

    // Empty optional if the entry is not held.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const schema::LogEntry& at(std::uint64_t index) const { return m_entries[index - m_baseIndex - 1]; }

    // Entries from the index on, up to about the bytes given but at least one if there is one.
    std::vector<schema::LogEntry> from(std::uint64_t index, std::size_t bytes) const;

    // First index of the run of entries with the term that ends at the index.
    std::uint64_t firstOfTerm(std::uint64_t index) const;

    // Adds an entry in memory; sync() makes it durable.
    void push(schema::LogEntry entry);
    void sync();

    // Adds a leader's entries durably; those that are held already stay, a conflicting one is replaced with all after it.
    void merge(std::span<const schema::LogEntry> entries);

    // Controllers that vote by the newest entry held, committed or not; nullptr if none says so.
    const schema::Membership* membership() const;
    // Index of the entry that says so.
    std::uint64_t membershipIndex() const;

    // Makes a snapshot of the state after the index durable, and keeps some entries before it for followers that lag.
    void compact(std::uint64_t index, std::string state, std::size_t keptEntries);

    // Takes over a leader's snapshot. Entries after it stay only if they continue it.
    void install(schema::SnapshotRecord snapshot);

private:
    void cutFrom(std::uint64_t index);
    void noteMembership(const schema::LogEntry& entry);

    ILogStorage& m_storage;
    schema::SnapshotRecord m_snapshot;
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::uint64_t m_syncedIndex = 0;
    std::deque<schema::LogEntry> m_entries;
    // Memberships by the index of their entry, the snapshot's first.
    std::vector<std::pair<std::uint64_t, schema::Membership>> m_memberships;
};

} // namespace clementinesill::control
