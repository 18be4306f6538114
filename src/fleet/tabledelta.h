#pragma once

namespace clementinesill::schema {
class Table;
class TableDelta;
} // namespace clementinesill::schema

namespace clementinesill::fleet {

// Turns the table into the one at delta.to_version(). False, and the table stays as it is, unless the delta starts at the
// table's version.
bool applyDelta(schema::Table& table, const schema::TableDelta& delta);

} // namespace clementinesill::fleet
