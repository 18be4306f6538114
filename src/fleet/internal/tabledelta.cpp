#include "fleet/tabledelta.h"

#include "fleet.pb.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace clementinesill::fleet {

namespace {

// Replaces records with the same key in place, appends new records and erases removed ones.
template <typename Record, typename Removed, typename Key>
void applyChanges(google::protobuf::RepeatedPtrField<Record>& records, const google::protobuf::RepeatedPtrField<Record>& changed, const Removed& removed, Key key)
{
    using KeyType = std::decay_t<decltype(key(std::declval<const Record&>()))>;
    std::unordered_map<KeyType, const Record*> replacements;
    for (const auto& record : changed)
        replacements[key(record)] = &record;
    const std::unordered_set<KeyType> removedKeys(removed.begin(), removed.end());
    records.erase(std::remove_if(records.begin(), records.end(), [&](const auto& record) { return removedKeys.contains(key(record)); }), records.end());
    for (auto& record : records) {
        const auto found = replacements.find(key(record));
        if (found == replacements.end())
            continue;
        record = *found->second;
        replacements.erase(found);
    }
    for (const auto& record : changed) {
        if (replacements.contains(key(record)))
            *records.Add() = record;
    }
}

} // namespace

bool applyDelta(schema::Table& table, const schema::TableDelta& delta)
{
    if (delta.from_version() != table.version())
        return false;
    applyChanges(*table.mutable_services(), delta.services(), delta.removed_services(), [](const schema::Service& service) { return service.id(); });
    applyChanges(*table.mutable_zones(), delta.zones(), delta.removed_zones(), [](const schema::Zone& zone) { return zone.name(); });
    applyChanges(*table.mutable_servers(), delta.servers(), delta.removed_servers(), [](const schema::Server& server) { return server.id(); });
    applyChanges(*table.mutable_routes(), delta.routes(), delta.removed_routes(), [](const schema::Route& route) { return route.endpoint(); });
    if (delta.has_document_version())
        table.set_document_version(delta.document_version());
    table.set_version(delta.to_version());
    return true;
}

} // namespace clementinesill::fleet
