#pragma once

#include "requests/types/requestclass.h"
#include "requests/types/requestgateoptions.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace clementinesill::requests {

using RequestHeader = boost::beast::http::request_header<>;
using AnswerHeader = boost::beast::http::response_header<>;

// Header names of the gate's own protocol, described in docs/design-requests.md.
inline constexpr std::string_view outcomeField = "Clementinesill-Outcome";
inline constexpr std::string_view exchangeField = "Clementinesill-Exchange";
inline constexpr std::string_view timeoutField = "Request-Timeout-Ms";
inline constexpr std::string_view idempotencyKeyField = "Idempotency-Key";

// Why a request is refused before anything of it is handed on.
struct HeaderProblem {
    boost::beast::http::status status = boost::beast::http::status::bad_request;
    // What is wrong and the remedy.
    std::string message;
};

// Checks framing that two readers could understand differently, and the limits.
std::optional<HeaderProblem> checkRequest(const RequestHeader& header, const RequestLimits& limits);

// Checks an answer's framing in the same way.
bool isAnswerFramed(const AnswerHeader& header);

// The same text for the interfaces of Boost.Beast, whose string view is a type of its own.
boost::beast::string_view beastView(std::string_view text);

// Order or Read; a feed shows only in its answer.
RequestClass classify(const RequestHeader& header);

// Time the caller gives the request by Request-Timeout-Ms, at most `longest`. Empty if the field is malformed.
std::optional<Duration> requestTimeout(const RequestHeader& header, Duration longest);

// The field's value without surrounding white space; empty if absent.
std::string_view fieldValue(const boost::beast::http::fields& fields, std::string_view name);

bool isChunked(const boost::beast::http::fields& fields);
bool hasBody(const RequestHeader& header);
bool expectsContinue(const RequestHeader& header);
bool keepsAlive(const RequestHeader& header);

// Whether the answer's type is one that stays open.
bool isFeedType(const AnswerHeader& header);

// Removes what concerns one connection only (RFC 9110, 7.6.1), but for the framing.
void removeHopFields(boost::beast::http::fields& fields);

// Header as it goes on the wire.
std::string serialize(const RequestHeader& header);
std::string serialize(const AnswerHeader& header);

} // namespace clementinesill::requests
