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

// Parses a JSON text with comments into a schema message, checks it against the message's descriptor, and records the
// line of each key. Used for the daemons' settings and for the operators' files.
class SchemaReader {
public:
    // file is the file name in error messages; kind is the kind of the errors thrown.
    SchemaReader(std::string file, ErrorKind kind);

    // Sets the message's fields from the text. Throws ConfigError: Syntax, TooLarge, UnknownKey, DuplicateKey, WrongType,
    // WrongUnit, OutOfRange, MultipleRoles.
    void read(std::string_view text, google::protobuf::Message& message);

    // Whether the text contains the key, such as "services[0].port".
    bool hasKey(const std::string& key) const { return m_lines.contains(key); }

    // Position of the key, or of its closest enclosing key in the text.
    ConfigPosition position(const std::string& key) const;

    // Throws ConfigError with the key's position.
    [[noreturn]] void fail(ConfigFault fault, const std::string& key, const std::string& problem, const std::string& remedy) const;

private:
    void readObject(const JsonNode& node, const std::string& path, google::protobuf::Message& message);
    void readField(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field, google::protobuf::Message& message);
    void readArray(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field, google::protobuf::Message& message);
    void readValue(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field, google::protobuf::Message& message);
    std::uint32_t readNumber(const JsonNode& node, const std::string& path) const;
    [[noreturn]] void failDurationString(const JsonNode& node, const std::string& path, const google::protobuf::FieldDescriptor& field) const;

    std::string m_file;
    ErrorKind m_kind;
    std::map<std::string, int> m_lines;
};

} // namespace clementinesill::operators
