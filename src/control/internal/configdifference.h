#pragma once

#include "log.pb.h"

#include <span>
#include <string>

namespace clementinesill::control {

// Name of the first file, in the order of names, that one side has and the other has not or with other content; "the
// configuration" if the files are the same.
std::string firstDifference(std::span<const schema::ConfigFile> held, const google::protobuf::RepeatedPtrField<schema::ConfigFile>& sent);

} // namespace clementinesill::control
