#include "foundation/types/errorkind.h"

namespace clementinesill {

std::string_view name(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
        return "invalid_settings";
    case ErrorKind::InvalidConfiguration:
        return "invalid_configuration";
    case ErrorKind::InvalidArgument:
        return "invalid_argument";
    case ErrorKind::AddressInUse:
        return "address_in_use";
    case ErrorKind::Unsupported:
        return "unsupported";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Malformed:
        return "malformed";
    case ErrorKind::Storage:
        return "storage";
    case ErrorKind::Network:
        return "network";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Refused:
        return "refused";
    }
    return "unknown";
}

} // namespace clementinesill
