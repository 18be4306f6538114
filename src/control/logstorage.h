#pragma once

#include "control/ilogstorage.h"

#include <cstdint>
#include <optional>
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
    struct Replacement {
        std::string name;
        // Size of the new file, in bytes.
        std::uint64_t size = 0;
        // The temporary file may already have its final name.
        bool mayBeRenamed = false;
    };

    std::uint64_t loadOrCreateIdentity();
    std::vector<schema::LogEntry> readLog(const schema::SnapshotRecord& snapshot);
    void rewriteLog(std::span<const schema::LogEntry> entries);
    // Replaces the file atomically.
    void replaceFile(const char* name, std::string_view payload);
    void completeReplacement();
    // Finds out from the folder whether the replacement that failed last took effect, and removes its temporary file. An operation
    // that was reported as failed may have taken effect.
    void resolveFailedReplacement();
    void syncFolderIfChanged();
    std::optional<std::string> readFile(const char* name);

    IFileSystem& m_files;
    IRandom& m_random;
    // Size of the log's durable records. Bytes after them belong to a write that failed.
    std::uint64_t m_logBytes = 0;
    bool m_logHasFailedWrite = false;
    // A renamed file may not be durable under its new name.
    bool m_folderChanged = false;
    // Set while a file is being replaced, and after an error until the folder shows whether it took effect.
    std::optional<Replacement> m_replacement;
};

} // namespace clementinesill::control
