#include "dataplane/types/packeterror.h"

namespace clementinesill::dataplane {

std::string_view name(PacketError error)
{
    switch (error) {
    case PacketError::None:
        return "none";
    case PacketError::TooShort:
        return "too_short";
    case PacketError::NotGeneve:
        return "not_geneve";
    case PacketError::BadGeneveVersion:
        return "bad_geneve_version";
    case PacketError::BadOptionLength:
        return "bad_option_length";
    case PacketError::UnknownCriticalOption:
        return "unknown_critical_option";
    case PacketError::NotIpv4:
        return "not_ipv4";
    case PacketError::BadIpHeader:
        return "bad_ip_header";
    case PacketError::Fragment:
        return "fragment";
    case PacketError::UnknownProtocol:
        return "unknown_protocol";
    case PacketError::BadTransportHeader:
        return "bad_transport_header";
    case PacketError::Truncated:
        return "truncated";
    }
    return "unknown";
}

} // namespace clementinesill::dataplane
