#pragma once

#include <string_view>

namespace clementinesill::operators {

// Kinds of error in a settings or configuration file.
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
    MultipleRoles,
    MissingRole,
    MissingFolder,
    MissingFile,
    AddressInUse,
    PlaintextOffLoopback,
};

// Name of the fault in JSON output.
std::string_view name(ConfigFault fault);

} // namespace clementinesill::operators
