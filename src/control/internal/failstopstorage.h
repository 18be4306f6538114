#pragma once

#include "control/ilogstorage.h"

namespace clementinesill::control {

// Ends the process when something cannot be made durable: to go on might acknowledge what would be lost.
class FailStopStorage final : public ILogStorage {
public:
    explicit FailStopStorage(ILogStorage& storage)
        : m_storage(storage)
    {
    }

    // Throws Error (Storage), since nothing is served yet.
    StoredLog open() override { return m_storage.open(); }

    void saveVote(const schema::VoteRecord& vote) override;
    void append(std::span<const schema::LogEntry> entries) override;
    void saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept) override;

private:
    ILogStorage& m_storage;
};

} // namespace clementinesill::control
