#include "control/internal/frame.h"

#include "foundation/hash.h"

#include <boost/endian/conversion.hpp>
#include <cstdint>

namespace clementinesill::control {

namespace {

constexpr std::uint32_t magic = 0x31434c43;
constexpr std::size_t headerBytes = 16;

std::uint64_t checksum(std::string_view payload)
{
    return hash64(std::as_bytes(std::span(payload)), payload.size());
}

const unsigned char* unsignedBytes(const char* bytes)
{
    return reinterpret_cast<const unsigned char*>(bytes);
}

} // namespace

std::string encodeFrame(std::string_view payload)
{
    std::string frame(headerBytes, '\0');
    auto* header = reinterpret_cast<unsigned char*>(frame.data());
    boost::endian::store_little_u32(header, magic);
    boost::endian::store_little_u32(header + 4, static_cast<std::uint32_t>(payload.size()));
    boost::endian::store_little_u64(header + 8, checksum(payload));
    return frame.append(payload);
}

std::optional<DecodedFrame> decodeFrame(std::string_view bytes)
{
    if (bytes.size() < headerBytes)
        return std::nullopt;
    const auto* header = unsignedBytes(bytes.data());
    if (boost::endian::load_little_u32(header) != magic)
        return std::nullopt;
    const std::size_t length = boost::endian::load_little_u32(header + 4);
    if (length > bytes.size() - headerBytes)
        return std::nullopt;
    const auto payload = bytes.substr(headerBytes, length);
    if (boost::endian::load_little_u64(header + 8) != checksum(payload))
        return std::nullopt;
    return DecodedFrame { .payload = payload, .size = headerBytes + length };
}

bool containsLaterFrame(std::string_view bytes)
{
    for (std::size_t start = 1; start + headerBytes <= bytes.size(); ++start) {
        if (decodeFrame(bytes.substr(start)))
            return true;
    }
    return false;
}

} // namespace clementinesill::control
