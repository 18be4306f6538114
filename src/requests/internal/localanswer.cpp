#include "requests/internal/localanswer.h"

#include "requests/internal/httprules.h"
#include "requests/types/storedanswer.h"

namespace clementinesill::requests {

namespace http = boost::beast::http;

std::string serialize(const LocalAnswer& answer, bool closes, bool headRequest)
{
    const auto body = answer.message + "\n";
    AnswerHeader header;
    header.version(11);
    header.result(answer.status);
    header.set(http::field::content_type, "text/plain");
    header.set(http::field::content_length, std::to_string(body.size()));
    const auto outcome = name(answer.outcome);
    header.set(boost::beast::string_view(outcomeField.data(), outcomeField.size()), boost::beast::string_view(outcome.data(), outcome.size()));
    if (answer.retryAfter)
        header.set(http::field::retry_after, std::to_string(answer.retryAfter->count()));
    if (closes)
        header.set(http::field::connection, "close");
    auto bytes = serialize(header);
    if (!headRequest)
        bytes += body;
    return bytes;
}

std::string serialize(const StoredAnswer& answer, bool closes)
{
    AnswerHeader header;
    header.version(11);
    header.result(answer.status);
    for (const auto& [name, value] : answer.fields)
        header.insert(name, value);
    header.set(http::field::content_length, std::to_string(answer.body.size()));
    header.set("Idempotency-Replayed", "true");
    if (closes)
        header.set(http::field::connection, "close");
    return serialize(header) + answer.body;
}

} // namespace clementinesill::requests
