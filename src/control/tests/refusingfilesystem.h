#pragma once

#include "control/ifilesystem.h"
#include "foundation/error.h"
#include "foundation/irandom.h"

#include <cstdint>
#include <utility>

// Files of another file system whose operations fail for a while, before, halfway through or after their effect.
class RefusingFileSystem final : public clementinesill::control::IFileSystem {
public:
    RefusingFileSystem(clementinesill::control::IFileSystem& files, clementinesill::IRandom& random)
        : m_files(files)
        , m_random(random)
    {
    }

    // The operations from the first number up to the second, exclusive, fail. Numbers start at 0; reads do not count.
    std::pair<std::uint64_t, std::uint64_t> refusedOperations;
    std::uint64_t operations = 0;

    std::vector<std::string> list() override { return m_files.list(); }
    std::optional<std::string> read(const std::string& name) override { return m_files.read(name); }

    void append(const std::string& name, std::string_view bytes) override
    {
        perform([&] { m_files.append(name, bytes); }, [&] { m_files.append(name, bytes.substr(0, bytes.size() / 2)); });
    }

    void truncate(const std::string& name, std::uint64_t size) override
    {
        perform([&] { m_files.truncate(name, size); });
    }

    void sync(const std::string& name) override
    {
        perform([&] { m_files.sync(name); });
    }

    void rename(const std::string& from, const std::string& to) override
    {
        perform([&] { m_files.rename(from, to); });
    }

    void remove(const std::string& name) override
    {
        perform([&] { m_files.remove(name); });
    }

    void syncFolder() override
    {
        perform([&] { m_files.syncFolder(); });
    }

private:
    template <typename Operation>
    void perform(Operation operation)
    {
        perform(operation, [] {});
    }

    template <typename Operation, typename Part>
    void perform(Operation operation, Part performPart)
    {
        const auto number = operations++;
        if (number < refusedOperations.first || number >= refusedOperations.second) {
            operation();
            return;
        }
        switch (m_random.below(3)) {
        case 0:
            break;
        case 1:
            performPart();
            break;
        default:
            operation();
        }
        throw clementinesill::Error(clementinesill::ErrorKind::Storage, "the disk refuses the operation", "free space");
    }

    clementinesill::control::IFileSystem& m_files;
    clementinesill::IRandom& m_random;
};
