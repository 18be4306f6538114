#pragma once

#include "operators/configerror.h"
#include "operators/internal/mergedrecord.h"
#include "operators/internal/valuecheck.h"
#include "operators/schemareader.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <span>
#include <string>

namespace clementinesill::operators {

// Merged records of one type by name; the record of a later file overrides the keys that it sets.
template <typename Record>
class RecordSet {
public:
    // listKey is the key of the array of records, such as "services".
    explicit RecordSet(std::string listKey)
        : m_listKey(std::move(listKey))
    {
    }

    // Adds one file's records. Throws ConfigError: MissingKey, BadName or DuplicateRecord.
    void add(const SchemaReader& reader, const google::protobuf::RepeatedPtrField<Record>& records)
    {
        std::map<std::string, int> lines;
        for (int index = 0; index < records.size(); ++index) {
            const auto path = m_listKey + "[" + std::to_string(index) + "]";
            const auto& name = records[index].name();
            checkRecordName(reader, path + ".name", name);
            const auto [first, added] = lines.try_emplace(name, reader.position(path).line);
            if (!added)
                reader.fail(ConfigFault::DuplicateRecord, path + ".name", "duplicate record '" + name + "', first defined in line " + std::to_string(first->second), "remove or rename one of them");
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
            if (!reader.hasKey(key))
                continue;
            merged.positions[field->json_name()] = reader.position(key);
            copyField(reflection, *field, record, merged.record);
        }
    }

    // Unlike MergeFrom, also copies false, 0 and the empty string.
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

    std::string m_listKey;
    std::map<std::string, MergedRecord<Record>> m_records;
};

} // namespace clementinesill::operators
