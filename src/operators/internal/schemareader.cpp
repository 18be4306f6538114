#include "operators/schemareader.h"

#include "operators/configerror.h"
#include "operators/internal/durationtext.h"
#include "operators/internal/jsonparser.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <limits>

namespace clementinesill::operators {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

std::string typeName(JsonNode::Type type)
{
    switch (type) {
    case JsonNode::Type::Null:
        return "null";
    case JsonNode::Type::Boolean:
        return "true or false";
    case JsonNode::Type::UnsignedInteger:
        return "a number";
    case JsonNode::Type::OtherNumber:
        return "a negative or fractional number";
    case JsonNode::Type::String:
        return "a string";
    case JsonNode::Type::Array:
        return "an array";
    case JsonNode::Type::Object:
        return "an object";
    }
    return "a value";
}

std::string expectedType(const FieldDescriptor& field)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return "a string in double quotes";
    case FieldDescriptor::CPPTYPE_BOOL:
        return "true or false";
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return "an object in braces";
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return "a non-negative number without quotes";
    default:
        return "a whole number without quotes";
    }
}

JsonNode::Type expectedNodeType(const FieldDescriptor& field)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return JsonNode::Type::String;
    case FieldDescriptor::CPPTYPE_BOOL:
        return JsonNode::Type::Boolean;
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return JsonNode::Type::Object;
    default:
        return JsonNode::Type::UnsignedInteger;
    }
}

const FieldDescriptor* findField(const Descriptor& descriptor, const std::string& key)
{
    for (int index = 0; index < descriptor.field_count(); ++index) {
        if (descriptor.field(index)->json_name() == key)
            return descriptor.field(index);
    }
    return nullptr;
}

std::string keyList(const Descriptor& descriptor)
{
    std::string keys;
    for (int index = 0; index < descriptor.field_count(); ++index)
        keys += (index ? ", " : "") + descriptor.field(index)->json_name();
    return keys;
}

std::string join(const std::string& path, const std::string& key)
{
    return path.empty() ? key : path + "." + key;
}

// Milliseconds per unit, according to the suffix of the key's name; 0 if it has no unit suffix.
std::uint32_t unitMilliseconds(const FieldDescriptor& field)
{
    const auto& key = field.json_name();
    if (key.ends_with("Ms"))
        return 1;
    if (key.ends_with("Seconds"))
        return 1000;
    return 0;
}

} // namespace

SchemaReader::SchemaReader(std::string file, ErrorKind kind)
    : m_file(std::move(file))
    , m_kind(kind)
{
}

void SchemaReader::read(std::string_view text, Message& message)
{
    const auto root = parseJson(m_file, text, m_kind);
    m_lines[""] = root.line;
    if (root.type != JsonNode::Type::Object)
        fail(ConfigFault::WrongType, "", "the file contains " + typeName(root.type), "write an object in braces");
    readObject(root, "", message);
}

ConfigPosition SchemaReader::position(const std::string& key) const
{
    auto enclosing = key;
    auto found = m_lines.find(enclosing);
    while (found == m_lines.end() && !enclosing.empty()) {
        const auto end = enclosing.find_last_of(".[");
        enclosing.resize(end == std::string::npos ? 0 : end);
        found = m_lines.find(enclosing);
    }
    return { .file = m_file, .line = found == m_lines.end() ? 0 : found->second, .key = key };
}

void SchemaReader::fail(ConfigFault fault, const std::string& key, const std::string& problem, const std::string& remedy) const
{
    const auto kind = fault == ConfigFault::Ipv6Address ? ErrorKind::Unsupported : m_kind;
    throw ConfigError(kind, fault, position(key), problem, remedy);
}

void SchemaReader::readObject(const JsonNode& node, const std::string& path, Message& message)
{
    const auto& descriptor = *message.GetDescriptor();
    for (const auto& member : node.members) {
        const auto key = join(path, member.key);
        const bool repeated = m_lines.contains(key);
        const int earlier = repeated ? m_lines[key] : 0;
        m_lines[key] = member.line;
        const auto* field = findField(descriptor, member.key);
        if (!field)
            fail(ConfigFault::UnknownKey, key, "unknown key", "remove it or use one of " + keyList(descriptor));
        if (repeated)
            fail(ConfigFault::DuplicateKey, key, "duplicate key, first set in line " + std::to_string(earlier), "remove one of them");
        const auto* oneof = field->containing_oneof();
        if (oneof && message.GetReflection()->HasOneof(message, oneof))
            fail(ConfigFault::MultipleRoles, key, "a second " + oneof->name() + " besides '" + message.GetReflection()->GetOneofFieldDescriptor(message, oneof)->json_name() + "'", "keep one of the two");
        readField(member.value, key, *field, message);
    }
}

void SchemaReader::readField(const JsonNode& node, const std::string& path, const FieldDescriptor& field, Message& message)
{
    if (field.is_repeated())
        readArray(node, path, field, message);
    else
        readValue(node, path, field, message);
}

void SchemaReader::readArray(const JsonNode& node, const std::string& path, const FieldDescriptor& field, Message& message)
{
    if (node.type != JsonNode::Type::Array)
        fail(ConfigFault::WrongType, path, "is " + typeName(node.type), "write an array in brackets");
    for (std::size_t index = 0; index < node.items.size(); ++index) {
        const auto item = path + "[" + std::to_string(index) + "]";
        m_lines[item] = node.items[index].line;
        readValue(node.items[index], item, field, message);
    }
}

void SchemaReader::readValue(const JsonNode& node, const std::string& path, const FieldDescriptor& field, Message& message)
{
    if (node.type == JsonNode::Type::String && unitMilliseconds(field))
        failDurationString(node, path, field);
    const bool fractionAllowed = field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE && node.type == JsonNode::Type::OtherNumber && node.number >= 0;
    if (node.type != expectedNodeType(field) && !fractionAllowed)
        fail(ConfigFault::WrongType, path, "is " + typeName(node.type), "write " + expectedType(field));
    const auto& reflection = *message.GetReflection();
    const bool repeated = field.is_repeated();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return repeated ? reflection.AddString(&message, &field, node.text) : reflection.SetString(&message, &field, node.text);
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection.SetBool(&message, &field, node.boolean);
    case FieldDescriptor::CPPTYPE_UINT32:
        return reflection.SetUInt32(&message, &field, readNumber(node, path));
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return reflection.SetDouble(&message, &field, node.number);
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return readObject(node, path, repeated ? *reflection.AddMessage(&message, &field) : *reflection.MutableMessage(&message, &field));
    default:
        fail(ConfigFault::WrongType, path, "has a schema type that is not supported in files", "remove it");
    }
}

std::uint32_t SchemaReader::readNumber(const JsonNode& node, const std::string& path) const
{
    constexpr auto maximum = std::numeric_limits<std::uint32_t>::max();
    if (node.integer > maximum)
        fail(ConfigFault::OutOfRange, path, std::to_string(node.integer) + " is too large", "use at most " + std::to_string(maximum));
    return static_cast<std::uint32_t>(node.integer);
}

void SchemaReader::failDurationString(const JsonNode& node, const std::string& path, const FieldDescriptor& field) const
{
    const auto unit = unitMilliseconds(field);
    const std::string unitName = unit == 1 ? "milliseconds" : "seconds";
    const auto duration = parseDuration(node.text);
    if (!duration)
        fail(ConfigFault::WrongType, path, "is a string", "write a whole number of " + unitName + " without quotes");
    if (duration->count() % unit)
        fail(ConfigFault::WrongUnit, path, "'" + node.text + "' is not a whole number of " + unitName, "write a whole number of " + unitName + " without quotes");
    fail(ConfigFault::WrongUnit, path, "'" + node.text + "' has a unit", "write " + std::to_string(duration->count() / unit) + " (" + unitName + ", without quotes)");
}

} // namespace clementinesill::operators
