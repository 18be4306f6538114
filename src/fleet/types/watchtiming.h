#pragma once

#include <chrono>

namespace clementinesill::fleet {

// A daemon must have an accepted change within 3 s although two controllers fall silent, the one it reads from and the next one:
// watchLease and one renewedWatchTimeout together leave the rest for the connection to the third one.

// Interval at which a controller sends the current version on a watch stream without changes.
constexpr std::chrono::milliseconds watchHeartbeatInterval { 500 };
// Time without an update after which a daemon turns to another controller. One heartbeat may be late or lost.
constexpr std::chrono::milliseconds watchLease { 1250 };
// Timeout of opening a watch stream, of its first update and of reading its final status, for a daemon that has no table.
constexpr std::chrono::milliseconds firstUpdateTimeout { 2000 };
// The same for a daemon that has a table. It doubles with each failed stream, so that a slow daemon or a large table does not
// fail forever.
constexpr std::chrono::milliseconds renewedWatchTimeout { 750 };

} // namespace clementinesill::fleet
