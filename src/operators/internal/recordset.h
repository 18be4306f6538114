#pragma once

#include "operators/configerror.h"
#include "operators/internal/valuecheck.h"
#include "operators/schemareader.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <span>
#include <string>

namespace clementinesill::operators {

// A record merged over several files, with the position of each key that was given.
template <typename Record>
struct MergedRecord {
    Record record;
    // Where the record stands last.
    ConfigPosition position;
    std::map<std::string, ConfigPosition> positions;

    bool given(const std::string& key) const { return positions.contains(key); }

    [[noreturn]] void fail(ConfigFault fault, const std::string& key, const std::string& problem, const std::string& remedy) const
    {
        const auto found = positions.find(key);
        const auto kind = fault == ConfigFault::Ipv6Address ? ErrorKind::Unsupported : ErrorKind::InvalidConfiguration;
        throw ConfigError(kind, fault, found == positions.end() ? position : found->second, problem, remedy);
    }

    void require(const std::string& key) const
    {
        if (!given(key))
            fail(ConfigFault::MissingKey, key, "'" + record.name() + "' has no " + key, "add the key " + key + " to the record");
    }

    std::uint32_t inRange(const std::string& key, std::uint32_t value, std::uint32_t lowest, std::uint32_t highest) const
    {
        if (value < lowest || value > highest)
            fail(ConfigFault::OutOfRange, key, std::to_string(value) + " is out of range", "use a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return value;
    }

    template <typename Value>
    Value oneOf(const std::string& key, const std::string& text, std::span<const NamedValue<Value>> values) const
    {
        std::string choices;
        for (const auto& candidate : values) {
            if (candidate.name == text)
                return candidate.value;
            choices.append(choices.empty() ? "" : " or ").append("\"").append(candidate.name).append("\"");
        }
        fail(ConfigFault::UnknownValue, key, "'" + text + "' is not known", "write " + choices);
    }
};

// Records of one kind by name; a later file's record replaces the keys that it gives.
template <typename Record>
class RecordSet {
public:
    // list is the key of the record's array, such as "services".
    explicit RecordSet(std::string list)
        : m_list(std::move(list))
    {
    }

    // Adds one file's records. Throws ConfigError: MissingKey, BadName or DuplicateRecord.
    void add(const SchemaReader& reader, const google::protobuf::RepeatedPtrField<Record>& records)
    {
        std::map<std::string, int> lines;
        for (int index = 0; index < records.size(); ++index) {
            const auto path = m_list + "[" + std::to_string(index) + "]";
            const auto& name = records[index].name();
            checkRecordName(reader, path + ".name", name);
            const auto [first, added] = lines.try_emplace(name, reader.position(path).line);
            if (!added)
                reader.fail(ConfigFault::DuplicateRecord, path + ".name", "a second record '" + name + "', first in line " + std::to_string(first->second), "remove or rename one of the two");
            merge(reader, path, records[index]);
        }
    }

    const std::map<std::string, MergedRecord<Record>>& records() const { return m_records; }

private:
    void merge(const SchemaReader& reader, const std::string& path, const Record& record)
    {
        auto& merged = m_records[record.name()];
        merged.position = reader.position(path);
        const auto& descriptor = *Record::descriptor();
        const auto& reflection = *Record::GetReflection();
        for (int index = 0; index < descriptor.field_count(); ++index) {
            const auto* field = descriptor.field(index);
            const auto key = path + "." + field->json_name();
            if (!reader.given(key))
                continue;
            merged.positions[field->json_name()] = reader.position(key);
            copyField(reflection, *field, record, merged.record);
        }
    }

    // Also copies false, 0 and the empty string, which MergeFrom leaves out.
    static void copyField(const google::protobuf::Reflection& reflection, const google::protobuf::FieldDescriptor& field, const Record& from, Record& to)
    {
        using google::protobuf::FieldDescriptor;
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
            return reflection.SetString(&to, &field, reflection.GetString(from, &field));
        case FieldDescriptor::CPPTYPE_BOOL:
            return reflection.SetBool(&to, &field, reflection.GetBool(from, &field));
        default:
            return reflection.SetUInt32(&to, &field, reflection.GetUInt32(from, &field));
        }
    }

    std::string m_list;
    std::map<std::string, MergedRecord<Record>> m_records;
};

} // namespace clementinesill::operators
