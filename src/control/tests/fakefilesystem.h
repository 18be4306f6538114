#pragma once

#include "control/ifilesystem.h"
#include "foundation/error.h"
#include "foundation/irandom.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

// Folder in memory. Loses power at a chosen write, after which unsynced data may be lost, kept or torn.
class FakeFileSystem final : public clementinesill::control::IFileSystem {
public:
    struct PowerLoss { };

    // The write with this number and all later ones throw PowerLoss; 0 for never.
    std::uint64_t powerLossAt = 0;
    std::uint64_t writes = 0;
    // While set, the disk takes no more bytes: it creates no file, an append writes a part and fails, and a sync fails.
    bool full = false;
    // The same for the writes from the first number up to the second, exclusive.
    std::pair<std::uint64_t, std::uint64_t> refusedWrites;

    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        for (const auto& [name, file] : m_names)
            names.push_back(name);
        return names;
    }

    std::optional<std::string> read(const std::string& name) override
    {
        const auto found = m_names.find(name);
        return found == m_names.end() ? std::nullopt : std::optional(found->second->content);
    }

    void append(const std::string& name, std::string_view bytes) override
    {
        if (refusesWrite() && !m_names.contains(name)) {
            countWrite();
            throwFull();
        }
        auto& file = m_names[name];
        if (!file)
            file = std::make_shared<File>();
        // The write during which power is lost may have reached the disk in part.
        if (powerLossAt && writes + 1 == powerLossAt)
            file->content.append(bytes.substr(0, bytes.size() / 2));
        countWrite();
        if (refusesWrite()) {
            file->content.append(bytes.substr(0, bytes.size() / 2));
            throwFull();
        }
        file->content.append(bytes);
    }

    void truncate(const std::string& name, std::uint64_t size) override
    {
        countWrite();
        m_names.at(name)->content.resize(size);
    }

    void sync(const std::string& name) override
    {
        countWrite();
        if (refusesWrite())
            throwFull();
        m_names.at(name)->synced = m_names.at(name)->content;
    }

    void rename(const std::string& from, const std::string& to) override
    {
        countWrite();
        m_names[to] = m_names.at(from);
        m_names.erase(from);
    }

    void remove(const std::string& name) override
    {
        countWrite();
        if (!m_names.erase(name))
            throw clementinesill::Error(clementinesill::ErrorKind::Storage, "cannot remove '" + name + "': no such file", "check the folder");
    }

    void syncFolder() override
    {
        countWrite();
        m_syncedNames = m_names;
    }

    // Restores what the disk may hold after the power loss: the names of the last folder sync or the newest ones, and of each
    // file the synced bytes and a part of the unsynced ones, possibly damaged.
    void restartAfterPowerLoss(clementinesill::IRandom& random)
    {
        powerLossAt = 0;
        if (random.below(2))
            m_names = m_syncedNames;
        for (auto& [name, file] : m_names)
            applyPowerLoss(*file, random);
        m_syncedNames = m_names;
    }

    std::string& content(const std::string& name) { return m_names.at(name)->content; }
    void wipe()
    {
        m_names.clear();
        m_syncedNames.clear();
    }

private:
    struct File {
        std::string content;
        std::string synced;
    };

    static void applyPowerLoss(File& file, clementinesill::IRandom& random)
    {
        std::string persisted = file.synced;
        if (file.content.size() > persisted.size() && file.content.starts_with(persisted)) {
            auto tail = file.content.substr(persisted.size());
            tail.resize(random.below(tail.size() + 1));
            if (!tail.empty() && random.below(2))
                tail[random.below(tail.size())] ^= 0x55;
            persisted += tail;
        }
        file.content = persisted;
        file.synced = persisted;
    }

    bool refusesWrite() const { return full || (writes >= refusedWrites.first && writes < refusedWrites.second); }

    [[noreturn]] static void throwFull() { throw clementinesill::Error(clementinesill::ErrorKind::Storage, "the disk is full", "free space"); }

    void countWrite()
    {
        ++writes;
        if (powerLossAt && writes >= powerLossAt)
            throw PowerLoss();
    }

    std::map<std::string, std::shared_ptr<File>> m_names;
    std::map<std::string, std::shared_ptr<File>> m_syncedNames;
};
