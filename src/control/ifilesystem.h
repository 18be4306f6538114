#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinesill::control {

// The files of one folder. What was written lasts once sync() has returned; new names, renames and removals last once
// syncFolder() has. Every function throws Error (Storage) that names the remedy.
class IFileSystem {
public:
    virtual ~IFileSystem() = default;

    virtual std::vector<std::string> list() = 0;

    // Empty optional if there is no such file.
    virtual std::optional<std::string> read(const std::string& name) = 0;

    // Creates the file if there is none.
    virtual void append(const std::string& name, std::string_view bytes) = 0;
    virtual void truncate(const std::string& name, std::uint64_t size) = 0;
    virtual void sync(const std::string& name) = 0;
    virtual void rename(const std::string& from, const std::string& to) = 0;
    virtual void remove(const std::string& name) = 0;
    virtual void syncFolder() = 0;
};

} // namespace clementinesill::control
