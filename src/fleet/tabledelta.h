#pragma once

namespace clementinesill::schema {
class Table;
class TableDelta;
} // namespace clementinesill::schema

namespace clementinesill::fleet {

// Updates the table to delta.to_version(). Returns false and leaves the table unchanged if delta.from_version() is not the
// table's version.
bool applyDelta(schema::Table& table, const schema::TableDelta& delta);

} // namespace clementinesill::fleet
