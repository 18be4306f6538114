#pragma once

#include "requests/types/outcome.h"

#include <boost/beast/http/status.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace clementinesill::requests {

// An answer of the gate itself.
struct LocalAnswer {
    boost::beast::http::status status = boost::beast::http::status::service_unavailable;
    Outcome outcome = Outcome::NotRun;
    // When the caller may come back.
    std::optional<std::chrono::seconds> retryAfter;
    // What happened and the remedy.
    std::string message;
};

struct StoredAnswer;

// Bytes of an answer that is given again, marked by Idempotency-Replayed.
std::string serialize(const StoredAnswer& answer, bool closes);

// Bytes of the answer. closes: the connection ends after it. headRequest: without the body.
std::string serialize(const LocalAnswer& answer, bool closes, bool headRequest);

} // namespace clementinesill::requests
