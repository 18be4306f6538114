#include "foundation/types/endpoint.h"

#include "foundation/error.h"

#include <arpa/inet.h>
#include <charconv>

namespace clementinesill {

std::uint32_t parseAddress(std::string_view text)
{
    const std::string address(text);
    in_addr parsed {};
    if (inet_pton(AF_INET, address.c_str(), &parsed) == 1)
        return ntohl(parsed.s_addr);
    if (address.find(':') != std::string::npos)
        throw Error(ErrorKind::Unsupported, "'" + address + "' is an IPv6 address", "use an IPv4 address; IPv6 is not supported yet");
    throw Error(ErrorKind::InvalidArgument, "'" + address + "' is not an IPv4 address", "write four numbers, such as 127.0.0.1");
}

Endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw Error(ErrorKind::InvalidArgument, "'" + std::string(text) + "' has no port", "write ADDRESS:PORT, such as 127.0.0.1:7000");
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc() || end != digits.data() + digits.size() || !port)
        throw Error(ErrorKind::InvalidArgument, "'" + std::string(digits) + "' is not a port", "use a number from 1 to 65535");
    return { .address = parseAddress(text.substr(0, colon)), .port = port };
}

std::string formatAddress(std::uint32_t address)
{
    const in_addr network { .s_addr = htonl(address) };
    char text[INET_ADDRSTRLEN];
    return inet_ntop(AF_INET, &network, text, sizeof(text));
}

std::string format(const Endpoint& endpoint)
{
    return formatAddress(endpoint.address) + ":" + std::to_string(endpoint.port);
}

} // namespace clementinesill
