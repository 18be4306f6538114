#pragma once

#include "operators/schemareader.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace clementinesill::schema {
class TlsSettings;
}

namespace clementinesill::operators {

// Checks of single values that go beyond the schema. Each throws ConfigError at its key.
class SettingsChecker {
public:
    explicit SettingsChecker(const SchemaReader& reader)
        : m_reader(reader)
    {
    }

    // MissingKey
    void require(const std::string& key) const;
    void require(std::initializer_list<const char*> keys) const;
    // BadName
    void recordName(const std::string& key, const std::string& text) const;
    // BadAddress, Ipv6Address. Nothing is checked if the key is not given.
    void endpoint(const std::string& key, const std::string& text) const;
    // UnknownValue if the key is given and its text is none of the choices.
    void choice(const std::string& key, const std::string& text, std::initializer_list<std::string_view> choices) const;
    // OutOfRange if the key is given and its value is not within the bounds.
    void range(const std::string& key, std::uint32_t value, std::uint32_t lowest, std::uint32_t highest) const;
    // MissingFolder
    void writableFolder(const std::string& key, const std::string& path) const;
    // MissingKey, MissingFile
    void tls(const schema::TlsSettings& settings) const;

    const SchemaReader& reader() const { return m_reader; }

private:
    void readableFile(const std::string& key, const std::string& path) const;

    const SchemaReader& m_reader;
};

} // namespace clementinesill::operators
