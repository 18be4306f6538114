#pragma once

#include "log.pb.h"

#include <map>
#include <span>
#include <string>

namespace clementinesill::control {

// Name of the first file, in the order of names, that one side has and the other has not or with other content; "the
// configuration" if the files are the same.
std::string firstDifference(std::span<const schema::ConfigFile> held, const google::protobuf::RepeatedPtrField<schema::ConfigFile>& sent);

// The service that an operators' record describes, without an id.
schema::Service serviceOf(const schema::ServiceRecord& record);

// State that the files give to each zone they name.
std::map<std::string, schema::ZoneState> zoneStates(const schema::OperatorFile& merged);

} // namespace clementinesill::control
