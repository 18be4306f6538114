// Stand-in for a backend server: responds to HTTP requests with its name, streams a feed, and reports health and load.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cxxopts.hpp>
#include <iostream>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using Request = http::request<http::string_body>;

// State that all connections share.
struct ServerState {
    std::string name;
    std::chrono::milliseconds workTime { 5 };
    std::chrono::milliseconds feedInterval { 200 };
    int slots = 5;
    int activeRequests = 0;
    std::uint64_t completedOrders = 0;
};

asio::awaitable<void> sleepFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> sendResponse(tcp::socket& socket, const Request& request, const std::string& body, http::status status = http::status::ok)
{
    http::response<http::string_body> response(status, request.version());
    response.keep_alive(request.keep_alive());
    response.body() = body;
    response.prepare_payload();
    co_await http::async_write(socket, response, asio::use_awaitable);
}

// Sends a chunked response with one numbered line per interval until the client disconnects.
asio::awaitable<void> streamFeed(tcp::socket& socket, const ServerState& state)
{
    http::response<http::empty_body> head(http::status::ok, 11);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(socket, serializer, asio::use_awaitable);
    for (std::uint64_t number = 0;; ++number) {
        const auto line = state.name + " " + std::to_string(number) + "\n";
        co_await asio::async_write(socket, http::make_chunk(asio::buffer(line)), asio::use_awaitable);
        co_await sleepFor(state.feedInterval);
    }
}

asio::awaitable<void> handleRequest(tcp::socket& socket, const Request& request, ServerState& state)
{
    if (request.target() == "/health")
        co_return co_await sendResponse(socket, request, "ok\n");
    if (request.target() == "/load")
        co_return co_await sendResponse(socket, request, std::to_string(state.activeRequests) + "\n");
    if (request.target() == "/feed")
        co_return co_await streamFeed(socket, state);
    if (state.activeRequests >= state.slots)
        co_return co_await sendResponse(socket, request, "busy\n", http::status::service_unavailable);
    ++state.activeRequests;
    // scripts/soak.py reads these lines to detect orders that ran more than once.
    if (request.method() == http::verb::post)
        std::cout << "ran " << request.body() << std::endl;
    co_await sleepFor(state.workTime);
    --state.activeRequests;
    if (request.method() == http::verb::post)
        ++state.completedOrders;
    co_await sendResponse(socket, request, state.name + " " + std::string(request.target()) + " " + request.body() + "\n");
}

asio::awaitable<void> serveConnection(tcp::socket socket, ServerState& state)
{
    try {
        boost::beast::flat_buffer buffer;
        while (true) {
            Request request;
            co_await http::async_read(socket, buffer, request, asio::use_awaitable);
            co_await handleRequest(socket, request, state);
            if (!request.keep_alive())
                break;
        }
    } catch (const boost::system::system_error&) {
        // The client disconnected.
    }
}

asio::awaitable<void> acceptClients(tcp::acceptor& acceptor, ServerState& state)
{
    while (true) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), state), asio::detached);
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_server", "Stand-in for a backend server.");
    options.add_options()("name", "name in every response", cxxopts::value<std::string>())("port", "port on 127.0.0.1", cxxopts::value<std::uint16_t>())("work-ms", "processing time of a request", cxxopts::value<int>()->default_value("5"))("slots", "maximum number of concurrent requests; more get status 503", cxxopts::value<int>()->default_value("5"));
    try {
        const auto arguments = options.parse(argc, argv);
        ServerState state { .name = arguments["name"].as<std::string>(), .workTime = std::chrono::milliseconds(arguments["work-ms"].as<int>()), .slots = arguments["slots"].as<int>() };
        asio::io_context loop(1);
        tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), arguments["port"].as<std::uint16_t>()));
        asio::co_spawn(loop, acceptClients(acceptor, state), asio::detached);
        asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([&](const auto&, int) { loop.stop(); });
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << "standin_server: " << error.what() << '\n';
        return 1;
    }
}
