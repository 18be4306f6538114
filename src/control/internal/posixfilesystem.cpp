#include "control/internal/posixfilesystem.h"

#include "foundation/error.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>

namespace clementinesill::control {

PosixFileSystem::PosixFileSystem(const std::string& folder)
    : m_folder(folder)
{
    std::error_code ignored;
    std::filesystem::create_directories(m_folder, ignored);
    m_folderDescriptor = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (m_folderDescriptor < 0)
        fail("open", ".");
    if (flock(m_folderDescriptor, LOCK_EX | LOCK_NB) == 0)
        return;
    ::close(m_folderDescriptor);
    throw Error(ErrorKind::Storage, "the data folder '" + m_folder + "' is in use by another process", "stop that process or change controller.dataFolder");
}

PosixFileSystem::~PosixFileSystem()
{
    for (const auto& [name, descriptor] : m_descriptors)
        ::close(descriptor);
    ::close(m_folderDescriptor);
}

std::vector<std::string> PosixFileSystem::list()
{
    std::vector<std::string> names;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(m_folder, error))
        names.push_back(entry.path().filename());
    if (error)
        throw Error(ErrorKind::Storage, "cannot list '" + m_folder + "': " + error.message(), "check the folder's permissions");
    return names;
}

std::optional<std::string> PosixFileSystem::read(const std::string& name)
{
    if (::access(path(name).c_str(), F_OK) != 0)
        return std::nullopt;
    std::ifstream file(path(name), std::ios::binary | std::ios::ate);
    const auto size = file.tellg();
    if (!file)
        fail("read", name);
    std::string content(static_cast<std::size_t>(size), '\0');
    file.seekg(0);
    file.read(content.data(), size);
    if (!file)
        fail("read", name);
    return content;
}

void PosixFileSystem::append(const std::string& name, std::string_view bytes)
{
    const int file = descriptor(name);
    while (!bytes.empty()) {
        const auto written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            fail("write", name);
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

void PosixFileSystem::truncate(const std::string& name, std::uint64_t size)
{
    if (::ftruncate(descriptor(name), static_cast<off_t>(size)) != 0)
        fail("cut", name);
}

void PosixFileSystem::sync(const std::string& name)
{
    if (::fsync(descriptor(name)) != 0)
        fail("sync", name);
}

void PosixFileSystem::rename(const std::string& from, const std::string& to)
{
    close(from);
    close(to);
    if (::rename(path(from).c_str(), path(to).c_str()) != 0)
        fail("rename", from);
}

void PosixFileSystem::remove(const std::string& name)
{
    close(name);
    if (::unlink(path(name).c_str()) != 0)
        fail("remove", name);
}

void PosixFileSystem::syncFolder()
{
    if (::fsync(m_folderDescriptor) != 0)
        fail("sync", ".");
}

int PosixFileSystem::descriptor(const std::string& name)
{
    const auto found = m_descriptors.find(name);
    if (found != m_descriptors.end())
        return found->second;
    const int file = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (file < 0)
        fail("open", name);
    m_descriptors[name] = file;
    return file;
}

void PosixFileSystem::close(const std::string& name)
{
    const auto found = m_descriptors.find(name);
    if (found == m_descriptors.end())
        return;
    ::close(found->second);
    m_descriptors.erase(found);
}

void PosixFileSystem::fail(const std::string& action, const std::string& name) const
{
    throw Error(ErrorKind::Storage, "cannot " + action + " '" + path(name) + "': " + std::strerror(errno), "check the disk's space, health and permissions, then restart the controller");
}

} // namespace clementinesill::control
