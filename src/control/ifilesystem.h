#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinesill::control {

// The files of one folder. Written data is durable once sync() has returned; new names, renames and removals are durable
// once syncFolder() has. Every function throws Error (Storage) with a remedy.
class IFileSystem {
public:
    virtual ~IFileSystem() = default;

    virtual std::vector<std::string> list() = 0;

    // Empty optional if there is no such file.
    virtual std::optional<std::string> read(const std::string& name) = 0;

    // Creates the file if it does not exist.
    virtual void append(const std::string& name, std::string_view bytes) = 0;
    virtual void truncate(const std::string& name, std::uint64_t size) = 0;
    virtual void sync(const std::string& name) = 0;
    virtual void rename(const std::string& from, const std::string& to) = 0;
    virtual void remove(const std::string& name) = 0;
    virtual void syncFolder() = 0;
};

} // namespace clementinesill::control
