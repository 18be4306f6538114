#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

// Temporary folder that is removed with the object.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "control-XXXXXX";
        m_path = mkdtemp(pattern.data());
    }

    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};
