#pragma once

#include "foundation/types/errorkind.h"
#include "operators/types/configfault.h"
#include "operators/types/configposition.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace google::protobuf {
class FieldDescriptor;
class Message;
} // namespace google::protobuf

namespace clementinesill::operators {

struct JsonNode;

// Reads one JSON text with comments into a schema message, checks it against the message's descriptor, and remembers
// where each key stands. The one checker behind the daemons' settings and the operators' files.
class SchemaReader {
public:
    // file names the text in errors; kind is that of the errors.
    SchemaReader(std::string file, ErrorKind kind);

    // Fills the message. Throws ConfigError: Syntax, TooLarge, UnknownKey, DuplicateKey, WrongType, WrongUnit,
    // OutOfRange, TwoRoles.
    void read(std::string_view text, google::protobuf::Message& message);

    // Whether the text gives the key, such as "services[0].port".
    bool given(const std::string& key) const { return m_lines.contains(key); }

    // Position of the key, or of the closest enclosing one that the text gives.
    ConfigPosition position(const std::string& key) const;

    // Throws ConfigError at the key.
    [[noreturn]] void fail(ConfigFault fault, const std::string& key, const std::string& problem, const std::string& remedy) const;

private:
    void readObject(const JsonNode& node, const std::string& path, google::protobuf::Message& message);
    void readField(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field, google::protobuf::Message& message);
    void readArray(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field, google::protobuf::Message& message);
    void readValue(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field, google::protobuf::Message& message);
    std::uint32_t readNumber(const JsonNode& node, const std::string& path) const;
    [[noreturn]] void failUnit(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field) const;

    std::string m_file;
    ErrorKind m_kind;
    std::map<std::string, int> m_lines;
};

} // namespace clementinesill::operators
