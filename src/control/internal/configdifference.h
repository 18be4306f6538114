#pragma once

#include "log.pb.h"

#include <span>
#include <string>

namespace clementinesill::control {

// Returns the name of the first file, in alphabetical order, that is missing on one side or differs in content; "the
// configuration" if both sides have the same files.
std::string firstDifferingFile(std::span<const schema::ConfigFile> current, const google::protobuf::RepeatedPtrField<schema::ConfigFile>& requested);

} // namespace clementinesill::control
