#include "requests/internal/localresponse.h"

#include "requests/internal/httprules.h"
#include "requests/types/storedresponse.h"

namespace clementinesill::requests {

namespace http = boost::beast::http;

std::string serialize(const LocalResponse& response, bool closeConnection, bool headRequest)
{
    const auto body = response.message + "\n";
    ResponseHeader header;
    header.version(11);
    header.result(response.status);
    header.set(http::field::content_type, "text/plain");
    header.set(http::field::content_length, std::to_string(body.size()));
    const auto outcome = name(response.outcome);
    header.set(boost::beast::string_view(outcomeField.data(), outcomeField.size()), boost::beast::string_view(outcome.data(), outcome.size()));
    if (response.retryAfter)
        header.set(http::field::retry_after, std::to_string(response.retryAfter->count()));
    if (closeConnection)
        header.set(http::field::connection, "close");
    auto bytes = serialize(header);
    if (!headRequest)
        bytes += body;
    return bytes;
}

std::string serialize(const StoredResponse& response, bool closeConnection)
{
    ResponseHeader header;
    header.version(11);
    header.result(response.status);
    for (const auto& [name, value] : response.fields)
        header.insert(name, value);
    header.set(http::field::content_length, std::to_string(response.body.size()));
    header.set("Idempotency-Replayed", "true");
    if (closeConnection)
        header.set(http::field::connection, "close");
    return serialize(header) + response.body;
}

} // namespace clementinesill::requests
