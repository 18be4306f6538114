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

// Checks single values beyond what the schema describes. Each check throws ConfigError at its key with the fault listed.
class SettingsChecker {
public:
    explicit SettingsChecker(const SchemaReader& reader)
        : m_reader(reader)
    {
    }

    // MissingKey if the key is not set.
    void require(const std::string& key) const;
    void require(std::initializer_list<const char*> keys) const;
    // BadName if the text is not a valid record name.
    void recordName(const std::string& key, const std::string& text) const;
    // BadAddress or Ipv6Address if the key is set and its text is not a valid endpoint.
    void endpoint(const std::string& key, const std::string& text) const;
    // UnknownValue if the key is set and its text is none of the choices.
    void choice(const std::string& key, const std::string& text, std::initializer_list<std::string_view> choices) const;
    // OutOfRange if the key is set and its value is not within the bounds.
    void range(const std::string& key, std::uint32_t value, std::uint32_t minimum, std::uint32_t maximum) const;
    // The same for a number with a fraction; 0 is accepted and means that the setting is off.
    void rangeOrOff(const std::string& key, double value, double minimum, double maximum) const;
    // MissingFolder if the path is not a folder that the daemon can read and write.
    void writableFolder(const std::string& key, const std::string& path) const;
    // MissingKey or MissingFile if the key tls is set and one of its keys or files is missing.
    void tls(const schema::TlsSettings& settings) const;

    const SchemaReader& reader() const { return m_reader; }

private:
    void readableFile(const std::string& key, const std::string& path) const;

    const SchemaReader& m_reader;
};

} // namespace clementinesill::operators
