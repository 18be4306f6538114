#include "control/entrylog.h"

#include "control/ilogstorage.h"
#include "foundation/error.h"

#include <algorithm>

namespace clementinesill::control {

void EntryLog::load(schema::SnapshotRecord snapshot, std::vector<schema::LogEntry> entries)
{
    m_snapshot = std::move(snapshot);
    m_baseIndex = m_snapshot.last_index();
    m_baseTerm = m_snapshot.last_term();
    m_recordedCommitIndex = std::max(m_recordedCommitIndex, m_snapshot.last_index());
    m_entries.clear();
    m_commandBytes = 0;
    m_memberships.clear();
    if (m_snapshot.membership().members_size())
        m_memberships.emplace_back(m_snapshot.last_index(), m_snapshot.membership());
    for (auto& entry : entries)
        append(std::move(entry));
    m_syncedIndex = lastIndex();
}

std::optional<std::uint64_t> EntryLog::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term();
}

std::vector<schema::LogEntry> EntryLog::entriesFrom(std::uint64_t index, std::size_t bytes) const
{
    std::vector<schema::LogEntry> entries;
    std::size_t sum = 0;
    for (; index <= lastIndex() && (entries.empty() || sum < bytes); ++index) {
        entries.push_back(at(index));
        sum += entries.back().command().size();
    }
    return entries;
}

std::uint64_t EntryLog::firstIndexWithTermOf(std::uint64_t index) const
{
    const auto term = termAt(index);
    while (index > m_baseIndex + 1 && termAt(index - 1) == term)
        --index;
    return index;
}

void EntryLog::append(schema::LogEntry entry)
{
    recordMembership(entry);
    m_recordedCommitIndex = std::max(m_recordedCommitIndex, entry.commit_index());
    m_commandBytes += entry.command().size();
    m_entries.push_back(std::move(entry));
}

void EntryLog::sync()
{
    if (m_syncedIndex >= lastIndex())
        return;
    const auto pending = entriesFrom(m_syncedIndex + 1, static_cast<std::size_t>(-1));
    m_storage.append(pending);
    m_syncedIndex = lastIndex();
}

void EntryLog::merge(std::span<const schema::LogEntry> entries)
{
    for (const auto& entry : entries) {
        if (entry.index() <= m_baseIndex || termAt(entry.index()) == entry.term())
            continue;
        if (entry.index() <= lastIndex())
            truncateFrom(entry.index());
        append(entry);
    }
    sync();
}

void EntryLog::truncateFrom(std::uint64_t index)
{
    while (lastIndex() >= index) {
        m_commandBytes -= m_entries.back().command().size();
        m_entries.pop_back();
    }
    std::erase_if(m_memberships, [&](const auto& pair) { return pair.first >= index; });
    m_syncedIndex = std::min(m_syncedIndex, index - 1);
}

void EntryLog::recordMembership(const schema::LogEntry& entry)
{
    if (!entry.membership())
        return;
    schema::Command command;
    if (!command.ParseFromString(entry.command()))
        throw Error(ErrorKind::Malformed, "entry " + std::to_string(entry.index()) + " contains a malformed membership", "run the same version of the program on all controllers");
    m_memberships.emplace_back(entry.index(), command.membership());
}

const schema::Membership* EntryLog::membership() const
{
    return m_memberships.empty() ? nullptr : &m_memberships.back().second;
}

std::uint64_t EntryLog::membershipIndex() const
{
    return m_memberships.empty() ? 0 : m_memberships.back().first;
}

const schema::Membership* EntryLog::formerMembership() const
{
    return m_memberships.size() < 2 ? nullptr : &m_memberships[m_memberships.size() - 2].second;
}

void EntryLog::compact(std::uint64_t index, std::string state, std::size_t trailingEntries, std::size_t trailingBytes)
{
    schema::SnapshotRecord snapshot;
    snapshot.set_last_index(index);
    snapshot.set_last_term(*termAt(index));
    for (const auto& [entryIndex, membership] : m_memberships) {
        if (entryIndex <= index)
            *snapshot.mutable_membership() = membership;
    }
    snapshot.set_state(std::move(state));
    const auto base = baseBefore(index, trailingEntries, trailingBytes);
    // Stored first: the entries stay in memory if that fails.
    m_storage.saveSnapshot(snapshot, entriesFrom(base + 1, static_cast<std::size_t>(-1)));
    discardUpTo(base);
    m_syncedIndex = lastIndex();
    m_snapshot = std::move(snapshot);
}

std::uint64_t EntryLog::baseBefore(std::uint64_t index, std::size_t trailingEntries, std::size_t trailingBytes) const
{
    const auto lowest = std::max(m_baseIndex, index > trailingEntries ? index - trailingEntries : 0);
    std::size_t bytes = 0;
    while (index > lowest && (bytes += at(index).command().size()) <= trailingBytes)
        --index;
    return index;
}

void EntryLog::discardUpTo(std::uint64_t index)
{
    m_baseTerm = *termAt(index);
    for (; m_baseIndex < index; ++m_baseIndex) {
        m_commandBytes -= m_entries.front().command().size();
        m_entries.pop_front();
    }
}

void EntryLog::installSnapshot(schema::SnapshotRecord snapshot)
{
    std::vector<schema::LogEntry> kept;
    if (termAt(snapshot.last_index()) == snapshot.last_term())
        kept = entriesFrom(snapshot.last_index() + 1, static_cast<std::size_t>(-1));
    m_storage.saveSnapshot(snapshot, kept);
    load(std::move(snapshot), std::move(kept));
}

} // namespace clementinesill::control
