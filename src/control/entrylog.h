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

// The log entries that a controller holds in memory, backed by their durable copy. Entries up to baseIndex() are
// discarded and covered by the snapshot.
class EntryLog {
public:
    explicit EntryLog(ILogStorage& storage)
        : m_storage(storage)
    {
    }

    // Replaces the content by a snapshot and the entries after it, both durable already.
    void load(schema::SnapshotRecord snapshot, std::vector<schema::LogEntry> entries);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return *termAt(lastIndex()); }
    // Index of the last entry that is durable.
    std::uint64_t syncedIndex() const { return m_syncedIndex; }
    const schema::SnapshotRecord& snapshot() const { return m_snapshot; }
    // Size of the commands of all entries held, in bytes.
    std::size_t commandBytes() const { return m_commandBytes; }

    // Empty optional if the entry is not held.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const schema::LogEntry& at(std::uint64_t index) const { return m_entries[index - m_baseIndex - 1]; }

    // Entries from the index on, until their commands reach the given size in bytes; at least one if any is held.
    std::vector<schema::LogEntry> entriesFrom(std::uint64_t index, std::size_t bytes) const;

    // First index of the run of entries of the same term that ends at the index.
    std::uint64_t firstIndexWithTermOf(std::uint64_t index) const;

    // Appends an entry in memory; sync() makes it durable.
    void append(schema::LogEntry entry);
    void sync();

    // Appends a leader's entries and makes them durable. Entries already held stay; the first conflicting one is replaced and
    // all entries after it are dropped.
    void merge(std::span<const schema::LogEntry> entries);

    // Latest membership in the log, committed or not; nullptr if there is none.
    const schema::Membership* membership() const;
    // Index of the entry with the latest membership; 0 if there is none.
    std::uint64_t membershipIndex() const;
    // The membership before the latest one; nullptr if there is none, or if it is only in the snapshot's past.
    const schema::Membership* formerMembership() const;

    // Highest commit index that a leader recorded in an entry held here, or the index of the snapshot. Unlike the commit index
    // in memory, it is known after a restart.
    std::uint64_t recordedCommitIndex() const { return m_recordedCommitIndex; }

    // Makes a snapshot of the state at the index durable and discards the entries up to the index, except the last ones, which are
    // kept for followers that lag: at most trailingEntries, of trailingBytes altogether.
    void compact(std::uint64_t index, std::string state, std::size_t trailingEntries, std::size_t trailingBytes);

    // Replaces the state by a leader's snapshot. Entries after it are kept only if the log holds the snapshot's last entry.
    void installSnapshot(schema::SnapshotRecord snapshot);

private:
    void truncateFrom(std::uint64_t index);
    // Index before the entries to keep up to the given one.
    std::uint64_t baseBefore(std::uint64_t index, std::size_t trailingEntries, std::size_t trailingBytes) const;
    void discardUpTo(std::uint64_t index);
    void recordMembership(const schema::LogEntry& entry);

    ILogStorage& m_storage;
    schema::SnapshotRecord m_snapshot;
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::uint64_t m_syncedIndex = 0;
    std::uint64_t m_recordedCommitIndex = 0;
    std::deque<schema::LogEntry> m_entries;
    std::size_t m_commandBytes = 0;
    // Memberships by the index of their entry, starting with the one in the snapshot.
    std::vector<std::pair<std::uint64_t, schema::Membership>> m_memberships;
};

} // namespace clementinesill::control
