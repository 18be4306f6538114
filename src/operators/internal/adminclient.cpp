#include "operators/adminclient.h"

#include "foundation/error.h"
#include "foundation/types/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace clementinesill::operators {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Response = http::response<http::string_body>;

constexpr std::uint64_t maximumPageBytes = 64 << 20;
constexpr unsigned httpVersion = 11;

asio::awaitable<Response> fetchResponse(Endpoint daemon, std::string target, std::chrono::milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    co_await stream.async_connect({ asio::ip::make_address_v4(daemon.address), daemon.port }, asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, target, httpVersion);
    request.set(http::field::host, format(daemon));
    request.set(http::field::connection, "close");
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumPageBytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    co_return parser.release();
}

// Throws the problem and remedy in the daemon's error response.
[[noreturn]] void throwRejection(const std::string& daemon, const Response& response)
{
    const auto json = nlohmann::json::parse(response.body(), nullptr, false);
    const auto error = json.is_object() ? json.value("error", nlohmann::json::object()) : nlohmann::json::object();
    const auto problem = error.value("problem", "HTTP status " + std::to_string(response.result_int()));
    throw Error(ErrorKind::InvalidArgument, "daemon " + daemon + " rejected the query: " + problem, error.value("remedy", "check that --daemon names an admin endpoint"));
}

} // namespace

std::string fetchAdminPage(const std::string& daemon, const std::string& target, std::chrono::milliseconds timeout)
{
    const auto endpoint = parseEndpoint(daemon);
    asio::io_context context(1);
    Response response;
    std::exception_ptr failure;
    asio::co_spawn(context, fetchResponse(endpoint, target, timeout), [&](const std::exception_ptr& error, Response received) {
        failure = error;
        response = std::move(received);
    });
    context.run();
    try {
        if (failure)
            std::rethrow_exception(failure);
    } catch (const boost::system::system_error& error) {
        throw Error(ErrorKind::Unavailable, "daemon " + daemon + " did not respond (" + error.code().message() + ")", "check that it is running and that --daemon names its admin endpoint");
    }
    if (response.result() != http::status::ok)
        throwRejection(daemon, response);
    return response.body();
}

} // namespace clementinesill::operators
