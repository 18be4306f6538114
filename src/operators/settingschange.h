#pragma once

#include "operators/types/settingchange.h"

#include <vector>

namespace clementinesill::schema {
class DaemonSettings;
}

namespace clementinesill::operators {

// Returns the settings that differ, in the order of the schema.
std::vector<SettingChange> changedSettings(const schema::DaemonSettings& running, const schema::DaemonSettings& file);

// Copies the settings that take effect without a restart.
void copyReloadableSettings(const schema::DaemonSettings& file, schema::DaemonSettings& running);

} // namespace clementinesill::operators
