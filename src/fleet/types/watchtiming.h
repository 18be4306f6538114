#pragma once

#include <chrono>

namespace clementinesill::fleet {

// Interval at which a controller sends the current version on a watch stream without changes.
constexpr std::chrono::milliseconds watchHeartbeatInterval { 1000 };
// Time for which a daemon may use its table without an update on the stream.
constexpr std::chrono::milliseconds watchLease { 3000 };
// Timeout of opening a watch stream, of its first update and of reading its final status.
constexpr std::chrono::milliseconds firstUpdateTimeout { 2000 };

} // namespace clementinesill::fleet
