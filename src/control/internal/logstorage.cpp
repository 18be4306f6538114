#include "control/logstorage.h"

#include "control/ifilesystem.h"
#include "control/internal/frame.h"
#include "foundation/error.h"
#include "foundation/irandom.h"

#include <algorithm>

namespace clementinesill::control {

namespace {

constexpr const char* logFile = "log";
constexpr const char* voteFile = "vote";
constexpr const char* snapshotFile = "snapshot";
constexpr const char* identityFile = "identity";
constexpr const char* temporarySuffix = ".tmp";

[[noreturn]] void throwCorrupt(const std::string& file, const std::string& problem)
{
    throw Error(ErrorKind::Storage, "the file '" + file + "' of the data folder is corrupt: " + problem,
        "keep a copy for analysis, empty the data folder and restart the controller; it then rejoins the group and receives the state from the leader");
}

std::string temporaryName(const std::string& name)
{
    return name + temporarySuffix;
}

// Appends an entry during replay. An entry whose index is already present replaces that entry and all after it.
void replayEntry(std::vector<schema::LogEntry>& entries, const schema::LogEntry& entry)
{
    if (entries.empty()) {
        entries.push_back(entry);
        return;
    }
    const auto first = entries.front().index();
    if (entry.index() > entries.back().index() + 1)
        throwCorrupt(logFile, "entry " + std::to_string(entry.index()) + " follows entry " + std::to_string(entries.back().index()));
    entries.resize(entry.index() < first ? 0 : entry.index() - first);
    entries.push_back(entry);
}

// Whether the entries after the snapshot continue it: the log holds the snapshot's last entry, or starts right after it.
bool extendsSnapshot(std::span<const schema::LogEntry> entries, const schema::SnapshotRecord& snapshot)
{
    if (entries.empty() || entries.front().index() == snapshot.last_index() + 1)
        return true;
    const auto first = entries.front().index();
    if (first > snapshot.last_index())
        throwCorrupt(logFile, "it starts at entry " + std::to_string(first) + " but the snapshot ends at " + std::to_string(snapshot.last_index()));
    const auto position = snapshot.last_index() - first;
    return position < entries.size() && entries[position].term() == snapshot.last_term();
}

} // namespace

StoredLog LogStorage::open()
{
    StoredLog stored;
    for (const auto& name : m_files.list()) {
        if (name.ends_with(temporarySuffix))
            m_files.remove(name);
    }
    stored.diskIdentity = loadOrCreateIdentity();
    if (const auto vote = readFile(voteFile); vote && !stored.vote.ParseFromString(*vote))
        throwCorrupt(voteFile, "it is not a vote record");
    if (const auto snapshot = readFile(snapshotFile); snapshot && !stored.snapshot.ParseFromString(*snapshot))
        throwCorrupt(snapshotFile, "it is not a snapshot record");
    stored.entries = readLog(stored.snapshot);
    return stored;
}

std::uint64_t LogStorage::loadOrCreateIdentity()
{
    schema::DiskIdentity identity;
    if (const auto stored = readFile(identityFile)) {
        if (!identity.ParseFromString(*stored))
            throwCorrupt(identityFile, "it is not an identity record");
        return identity.disk_identity();
    }
    if (m_files.read(logFile) || m_files.read(voteFile) || m_files.read(snapshotFile))
        throwCorrupt(identityFile, "it is missing although other files are present");
    identity.set_disk_identity(m_random.next() | 1);
    replaceFile(identityFile, identity.SerializeAsString());
    syncFolderIfChanged();
    return identity.disk_identity();
}

std::vector<schema::LogEntry> LogStorage::readLog(const schema::SnapshotRecord& snapshot)
{
    const auto stored = m_files.read(logFile);
    if (!stored) {
        // Created here, so that append() never has to sync the folder.
        rewriteLog({});
        return {};
    }
    const auto& content = *stored;
    std::vector<schema::LogEntry> entries;
    std::string_view rest = content;
    while (!rest.empty()) {
        const auto frame = decodeFrame(rest);
        schema::LogFrame decoded;
        if (!frame || !decoded.ParseFromArray(frame->payload.data(), static_cast<int>(frame->payload.size())))
            break;
        for (const auto& entry : decoded.entries())
            replayEntry(entries, entry);
        rest.remove_prefix(frame->size);
    }
    // Each write is synced before the next one starts, so only the last frame can be torn.
    if (!rest.empty() && containsLaterFrame(rest))
        throwCorrupt(logFile, "a damaged record precedes valid ones, at byte " + std::to_string(content.size() - rest.size()));
    const auto replayedCount = entries.size();
    if (!extendsSnapshot(entries, snapshot))
        entries.clear();
    std::erase_if(entries, [&](const auto& entry) { return entry.index() <= snapshot.last_index(); });
    m_logBytes = content.size();
    if (!rest.empty() || entries.size() != replayedCount)
        rewriteLog(entries);
    return entries;
}

void LogStorage::saveVote(const schema::VoteRecord& vote)
{
    replaceFile(voteFile, vote.SerializeAsString());
    syncFolderIfChanged();
}

void LogStorage::append(std::span<const schema::LogEntry> entries)
{
    if (entries.empty())
        return;
    schema::LogFrame frame;
    frame.mutable_entries()->Assign(entries.begin(), entries.end());
    const auto bytes = encodeFrame(frame.SerializeAsString());
    resolveFailedReplacement();
    syncFolderIfChanged();
    // The failed write may have left a whole record that is in memory only, which a later sync would not write.
    if (m_logHasFailedWrite)
        m_files.truncate(logFile, m_logBytes);
    m_logHasFailedWrite = true;
    m_files.append(logFile, bytes);
    m_files.sync(logFile);
    m_logHasFailedWrite = false;
    m_logBytes += bytes.size();
}

void LogStorage::saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept)
{
    replaceFile(snapshotFile, snapshot.SerializeAsString());
    syncFolderIfChanged();
    rewriteLog(kept);
}

void LogStorage::rewriteLog(std::span<const schema::LogEntry> entries)
{
    schema::LogFrame frame;
    frame.mutable_entries()->Assign(entries.begin(), entries.end());
    replaceFile(logFile, frame.SerializeAsString());
    syncFolderIfChanged();
}

void LogStorage::replaceFile(const char* name, std::string_view payload)
{
    resolveFailedReplacement();
    const auto bytes = encodeFrame(payload);
    const auto temporary = temporaryName(name);
    m_replacement = { .name = name, .size = bytes.size() };
    m_files.append(temporary, bytes);
    m_files.sync(temporary);
    m_replacement->mayBeRenamed = true;
    m_files.rename(temporary, name);
    completeReplacement();
}

void LogStorage::completeReplacement()
{
    m_folderChanged = true;
    if (m_replacement->name == logFile) {
        m_logBytes = m_replacement->size;
        m_logHasFailedWrite = false;
    }
    m_replacement.reset();
}

void LogStorage::resolveFailedReplacement()
{
    if (!m_replacement)
        return;
    const auto names = m_files.list();
    const auto temporary = temporaryName(m_replacement->name);
    if (std::find(names.begin(), names.end(), temporary) != names.end()) {
        m_replacement->mayBeRenamed = false;
        m_files.remove(temporary);
    }
    if (m_replacement->mayBeRenamed)
        completeReplacement();
    m_replacement.reset();
}

void LogStorage::syncFolderIfChanged()
{
    if (!m_folderChanged)
        return;
    m_files.syncFolder();
    m_folderChanged = false;
}

std::optional<std::string> LogStorage::readFile(const char* name)
{
    const auto content = m_files.read(name);
    if (!content)
        return std::nullopt;
    const auto frame = decodeFrame(*content);
    if (!frame || frame->size != content->size())
        throwCorrupt(name, "its checksum does not match");
    return std::string(frame->payload);
}

} // namespace clementinesill::control
