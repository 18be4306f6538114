#include "operators/types/configfault.h"

#include <array>
#include <utility>

namespace clementinesill::operators {

namespace {

constexpr std::array<std::pair<ConfigFault, std::string_view>, 22> names { {
    { ConfigFault::Unreadable, "unreadable" },
    { ConfigFault::TooLarge, "too_large" },
    { ConfigFault::Syntax, "syntax" },
    { ConfigFault::UnknownKey, "unknown_key" },
    { ConfigFault::DuplicateKey, "duplicate_key" },
    { ConfigFault::WrongType, "wrong_type" },
    { ConfigFault::WrongUnit, "wrong_unit" },
    { ConfigFault::OutOfRange, "out_of_range" },
    { ConfigFault::MissingKey, "missing_key" },
    { ConfigFault::UnknownValue, "unknown_value" },
    { ConfigFault::BadName, "bad_name" },
    { ConfigFault::BadAddress, "bad_address" },
    { ConfigFault::Ipv6Address, "ipv6_address" },
    { ConfigFault::DuplicateRecord, "duplicate_record" },
    { ConfigFault::SharedAddress, "shared_address" },
    { ConfigFault::KeyNotApplicable, "key_not_applicable" },
    { ConfigFault::MultipleRoles, "two_roles" },
    { ConfigFault::MissingRole, "missing_role" },
    { ConfigFault::MissingFolder, "missing_folder" },
    { ConfigFault::MissingFile, "missing_file" },
    { ConfigFault::AddressInUse, "address_in_use" },
    { ConfigFault::PlaintextOffLoopback, "plain_off_loopback" },
} };

} // namespace

std::string_view name(ConfigFault fault)
{
    for (const auto& [candidate, text] : names) {
        if (candidate == fault)
            return text;
    }
    return "unknown";
}

} // namespace clementinesill::operators
