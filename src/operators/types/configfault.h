#pragma once

#include <string_view>

namespace clementinesill::operators {

// What is wrong with a settings or configuration file.
enum class ConfigFault {
    Unreadable,
    TooLarge,
    Syntax,
    UnknownKey,
    DuplicateKey,
    WrongType,
    WrongUnit,
    OutOfRange,
    MissingKey,
    UnknownValue,
    BadName,
    BadAddress,
    Ipv6Address,
    DuplicateRecord,
    SharedAddress,
    KeyNotApplicable,
    TwoRoles,
    MissingRole,
    MissingFolder,
    MissingFile,
    AddressInUse,
    PlainOffLoopback,
};

// Name of the fault as it stands in JSON output.
std::string_view name(ConfigFault fault);

} // namespace clementinesill::operators
