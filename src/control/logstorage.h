#pragma once

#include "control/ilogstorage.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace clementinesill {
class IRandom;
}

namespace clementinesill::control {

class IFileSystem;

// Stores log, vote, snapshot and disk identity in files of one folder.
class LogStorage final : public ILogStorage {
public:
    LogStorage(IFileSystem& files, IRandom& random)
        : m_files(files)
        , m_random(random)
    {
    }

    StoredLog open() override;
    void saveVote(const schema::VoteRecord& vote) override;
    void append(std::span<const schema::LogEntry> entries) override;
    void saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept) override;

private:
    std::uint64_t loadOrCreateIdentity();
    std::vector<schema::LogEntry> readLog(const schema::SnapshotRecord& snapshot);
    void rewriteLog(std::span<const schema::LogEntry> entries);
    // Replaces the file atomically. Returns the new size in bytes.
    std::uint64_t replaceFile(const char* name, std::string_view payload);
    void writeTemporary(const std::string& temporary, std::string_view bytes);
    void syncFolderIfChanged();
    std::optional<std::string> readFile(const char* name);

    IFileSystem& m_files;
    IRandom& m_random;
    // Size of the log's durable records. Bytes after them belong to a write that failed.
    std::uint64_t m_logBytes = 0;
    bool m_logHasFailedWrite = false;
    // A renamed file may not be durable under its new name.
    bool m_folderChanged = false;
    // Temporary files of writes that failed.
    std::set<std::string> m_abandonedFiles;
};

} // namespace clementinesill::control
