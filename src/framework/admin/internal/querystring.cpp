#include "admin/querystring.h"

#include <charconv>

namespace clementinesill::admin {

namespace {

constexpr int hexBase = 16;
constexpr std::size_t sequenceLength = 3;

bool isUnreserved(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '.' || character == '_' || character == '~';
}

} // namespace

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (isUnreserved(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte / hexBase];
        encoded += digits[byte % hexBase];
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned char byte = 0;
        const auto* first = text.data() + index + 1;
        const bool sequence = text[index] == '%' && index + sequenceLength <= text.size();
        if (!sequence || std::from_chars(first, first + 2, byte, hexBase).ptr != first + 2) {
            decoded += text[index];
            continue;
        }
        decoded += static_cast<char>(byte);
        index += sequenceLength - 1;
    }
    return decoded;
}

} // namespace clementinesill::admin
