#include "requests/internal/httprules.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <charconv>
#include <vector>

namespace clementinesill::requests {

namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 8> hopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
    "Proxy-Authorization", "TE", "Trailer", "Upgrade" };
constexpr std::array<std::string_view, 3> streamingTypes { "text/event-stream", "application/x-ndjson", "multipart/x-mixed-replace" };

std::string_view view(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::size_t count(const http::fields& fields, http::field name)
{
    return fields.count(name);
}

bool isFramingValid(const http::fields& fields)
{
    const auto lengths = count(fields, http::field::content_length);
    const auto encodings = count(fields, http::field::transfer_encoding);
    if (lengths + encodings > 1)
        return false;
    if (view(fields[http::field::content_length]).find(',') != std::string_view::npos)
        return false;
    return encodings == 0 || isChunked(fields);
}

template <class Header>
std::string serializeHeader(const Header& header)
{
    constexpr bool isRequest = Header::is_request::value;
    const http::message<isRequest, http::empty_body> message { header };
    http::serializer<isRequest, http::empty_body> serializer { message };
    serializer.split(true);
    std::string bytes;
    boost::system::error_code error;
    while (!error && !serializer.is_header_done()) {
        std::size_t size = 0;
        serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
            size = boost::asio::buffer_size(buffers);
            bytes += boost::beast::buffers_to_string(buffers);
        });
        serializer.consume(size);
    }
    return bytes;
}

std::optional<HeaderError> checkTarget(const RequestHeader& header, const RequestLimits& limits)
{
    const auto target = view(header.target());
    if (target.size() > limits.targetBytes)
        return HeaderError { http::status::uri_too_long, "request target too long; shorten it" };
    if (header.method() == http::verb::connect)
        return HeaderError { http::status::not_implemented, "CONNECT is not served; reach the address directly" };
    if (target.empty() || (target.front() != '/' && target != "*"))
        return HeaderError { http::status::bad_request, "request target is not a path; send it in origin form" };
    return std::nullopt;
}

} // namespace

boost::beast::string_view beastView(std::string_view text)
{
    return { text.data(), text.size() };
}

bool isChunked(const http::fields& fields)
{
    return boost::beast::iequals(beastView(trim(view(fields[http::field::transfer_encoding]))), "chunked");
}

std::optional<HeaderError> checkRequest(const RequestHeader& header, const RequestLimits& limits)
{
    const auto fields = static_cast<std::size_t>(std::distance(header.begin(), header.end()));
    if (fields > limits.headerCount)
        return HeaderError { http::status::request_header_fields_too_large, "too many header fields; send fewer" };
    if (header.version() != 10 && header.version() != 11)
        return HeaderError { http::status::http_version_not_supported, "unknown HTTP version; use HTTP/1.1" };
    if (!isFramingValid(header))
        return HeaderError { http::status::bad_request, "ambiguous message length; send one Content-Length or one Transfer-Encoding: chunked" };
    if (header.version() == 10 && count(header, http::field::transfer_encoding) > 0)
        return HeaderError { http::status::bad_request, "Transfer-Encoding in HTTP/1.0; use HTTP/1.1" };
    const auto hosts = count(header, http::field::host);
    if (hosts > 1 || (hosts == 0 && header.version() == 11))
        return HeaderError { http::status::bad_request, "missing or repeated Host; send it once" };
    if (header.count(beastView(idempotencyKeyField)) > 1)
        return HeaderError { http::status::bad_request, "repeated Idempotency-Key; send it once" };
    return checkTarget(header, limits);
}

bool isResponseFramingValid(const ResponseHeader& header)
{
    return isFramingValid(header);
}

RequestClass classify(const RequestHeader& header)
{
    switch (header.method()) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::options:
    case http::verb::trace:
    case http::verb::put:
    case http::verb::delete_:
        return RequestClass::Idempotent;
    default:
        return RequestClass::NonIdempotent;
    }
}

std::optional<Duration> requestTimeout(const RequestHeader& header, Duration maxTimeout)
{
    const auto text = fieldValue(header, timeoutField);
    if (text.empty())
        return maxTimeout;
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return std::min<Duration>(maxTimeout, std::chrono::milliseconds(milliseconds));
}

std::string_view fieldValue(const http::fields& fields, std::string_view name)
{
    return trim(view(fields[beastView(name)]));
}

bool hasBody(const RequestHeader& header)
{
    if (isChunked(header))
        return true;
    const auto length = fieldValue(header, "Content-Length");
    return length.find_first_not_of('0') != std::string_view::npos;
}

bool expectsContinue(const RequestHeader& header)
{
    return header.version() == 11 && boost::beast::iequals(beastView(fieldValue(header, "Expect")), "100-continue");
}

bool isKeepAlive(const RequestHeader& header)
{
    return header.version() == 11 && !http::token_list(header[http::field::connection]).exists("close");
}

bool isStreamingType(const ResponseHeader& header)
{
    const auto type = fieldValue(header, "Content-Type");
    return std::any_of(streamingTypes.begin(), streamingTypes.end(), [&](std::string_view streaming) {
        return type.size() >= streaming.size() && boost::beast::iequals(beastView(type.substr(0, streaming.size())), beastView(streaming));
    });
}

void removeHopByHopFields(http::fields& fields)
{
    std::vector<std::string> named;
    for (const auto& field : fields) {
        if (field.name() != http::field::connection)
            continue;
        for (const auto& token : http::token_list(field.value()))
            named.emplace_back(token.data(), token.size());
    }
    for (const auto& name : named) {
        // A caller must not remove the framing or the Host by naming them in Connection.
        if (boost::beast::iequals(name, "Content-Length") || boost::beast::iequals(name, "Transfer-Encoding") || boost::beast::iequals(name, "Host"))
            continue;
        fields.erase(name);
    }
    for (const auto name : hopByHopFields)
        fields.erase(beastView(name));
}

std::string serialize(const RequestHeader& header)
{
    return serializeHeader(header);
}

std::string serialize(const ResponseHeader& header)
{
    return serializeHeader(header);
}

} // namespace clementinesill::requests
