#pragma once

#include "requests/types/requestclass.h"
#include "requests/types/requestproxyoptions.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace clementinesill::requests {

using RequestHeader = boost::beast::http::request_header<>;
using ResponseHeader = boost::beast::http::response_header<>;

// Header fields defined by the proxy, described in docs/design-requests.md.
inline constexpr std::string_view outcomeField = "Clementinesill-Outcome";
inline constexpr std::string_view exchangeField = "Clementinesill-Exchange";
inline constexpr std::string_view timeoutField = "Request-Timeout-Ms";
inline constexpr std::string_view idempotencyKeyField = "Idempotency-Key";

// Why a request is rejected before any of it is forwarded.
struct HeaderError {
    boost::beast::http::status status = boost::beast::http::status::bad_request;
    // Cause and remedy.
    std::string message;
};

// Checks the limits, and rejects framing that two parsers could interpret differently (request smuggling).
std::optional<HeaderError> checkRequest(const RequestHeader& header, const RequestLimits& limits);

// Checks a response's framing in the same way.
bool isResponseFramingValid(const ResponseHeader& header);

// Converts to the string view type of Boost.Beast.
boost::beast::string_view beastView(std::string_view text);

// NonIdempotent or Idempotent; Streaming can only be detected from the response.
RequestClass classify(const RequestHeader& header);

// Timeout that the caller sets by Request-Timeout-Ms, at most maxTimeout. Empty if the field is malformed.
std::optional<Duration> requestTimeout(const RequestHeader& header, Duration maxTimeout);

// The field's value without leading and trailing white space; empty if absent.
std::string_view fieldValue(const boost::beast::http::fields& fields, std::string_view name);

bool isChunked(const boost::beast::http::fields& fields);
bool hasBody(const RequestHeader& header);
bool expectsContinue(const RequestHeader& header);
bool isKeepAlive(const RequestHeader& header);

// Whether the response's media type is one of open-ended streams.
bool isStreamingType(const ResponseHeader& header);

// Removes hop-by-hop fields (RFC 9110, 7.6.1), except those of the framing.
void removeHopByHopFields(boost::beast::http::fields& fields);

std::string serialize(const RequestHeader& header);
std::string serialize(const ResponseHeader& header);

} // namespace clementinesill::requests
