#pragma once

#include "control/ifilesystem.h"

#include <map>

namespace clementinesill::control {

// A folder on disk, locked by this process.
class PosixFileSystem final : public IFileSystem {
public:
    // Creates the folder if it does not exist. Throws Error (Storage) if another process has locked it.
    explicit PosixFileSystem(const std::string& folder);
    ~PosixFileSystem() override;
    PosixFileSystem(const PosixFileSystem&) = delete;
    PosixFileSystem& operator=(const PosixFileSystem&) = delete;

    std::vector<std::string> list() override;
    std::optional<std::string> read(const std::string& name) override;
    void append(const std::string& name, std::string_view bytes) override;
    void truncate(const std::string& name, std::uint64_t size) override;
    void sync(const std::string& name) override;
    void rename(const std::string& from, const std::string& to) override;
    void remove(const std::string& name) override;
    void syncFolder() override;

private:
    std::string path(const std::string& name) const { return m_folder + "/" + name; }
    // Opens the file on first use. It stays open until it is renamed or removed, because sync() reports an error of an
    // earlier write only to a descriptor that was open at the time.
    int descriptor(const std::string& name);
    void close(const std::string& name);
    [[noreturn]] void fail(const std::string& action, const std::string& name) const;

    std::string m_folder;
    int m_folderDescriptor = -1;
    std::map<std::string, int> m_descriptors;
};

} // namespace clementinesill::control
