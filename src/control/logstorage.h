#pragma once

#include "control/ilogstorage.h"

#include <optional>
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
    // Replaces the file atomically.
    void replaceFile(const char* name, std::string_view payload);
    std::optional<std::string> readFile(const char* name);

    IFileSystem& m_files;
    IRandom& m_random;
};

} // namespace clementinesill::control
