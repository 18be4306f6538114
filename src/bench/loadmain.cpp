// Open-loop load generator: sends HTTP requests at a fixed rate regardless of response times, and keeps feeds open. Writes one
// JSON line with the result of each request and feed. Times are in seconds since the start.

#include "foundation/error.h"
#include "foundation/seededrandom.h"
#include "foundation/types/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace clementinesill;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Load on one service.
struct Target {
    std::string name;
    Endpoint endpoint;
    // Requests per second.
    double rate = 0;
    int feeds = 0;
};

struct LoadOptions {
    std::vector<Target> targets;
    double seconds = 10;
    // Fraction of requests that are POST.
    double orderShare = 0.2;
    // Orders carry an Idempotency-Key. A rejected order with a key is reported as unknown, since it may have run elsewhere.
    bool sendsKeys = true;
    std::chrono::milliseconds timeout { 5000 };
    std::size_t maximumInFlight = 2000;
    std::uint64_t seed = 1;
};

class LoadGenerator {
public:
    LoadGenerator(asio::io_context& loop, const LoadOptions& options, std::ostream& out)
        : m_loop(loop)
        , m_options(options)
        , m_out(out)
        , m_random(options.seed)
        , m_start(std::chrono::steady_clock::now())
    {
    }

    void start()
    {
        for (const auto& target : m_options.targets) {
            asio::co_spawn(m_loop, sendRequests(target), asio::detached);
            for (int index = 0; index < target.feeds; ++index)
                asio::co_spawn(m_loop, runFeed(target, index), asio::detached);
        }
    }

private:
    double elapsedSeconds() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count(); }

    double uniform() { return (static_cast<double>(m_random.next() >> 11) + 0.5) * 0x1p-53; }

    asio::awaitable<void> sleepUntil(double second)
    {
        asio::steady_timer timer(m_loop, m_start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(second)));
        co_await timer.async_wait(asio::use_awaitable);
    }

    // Sends requests with Poisson arrivals.
    asio::awaitable<void> sendRequests(Target target)
    {
        if (target.rate <= 0)
            co_return;
        double nextArrival = 0;
        while ((nextArrival += -std::log(uniform()) / target.rate) < m_options.seconds) {
            co_await sleepUntil(nextArrival);
            if (m_inFlight < m_options.maximumInFlight)
                asio::co_spawn(m_loop, sendRequest(target, nextArrival), asio::detached);
            else
                write({ { "kind", "skipped" }, { "service", target.name }, { "start", nextArrival } });
        }
    }

    asio::awaitable<void> sendRequest(Target target, double due)
    {
        ++m_inFlight;
        const bool isOrder = uniform() < m_options.orderShare;
        const auto number = ++m_requests;
        nlohmann::json record { { "kind", isOrder ? "order" : "read" }, { "service", target.name }, { "due", due }, { "start", elapsedSeconds() }, { "status", 0 } };
        try {
            beast::tcp_stream stream(m_loop);
            stream.expires_after(m_options.timeout);
            co_await stream.async_connect(endpointOf(target), asio::use_awaitable);
            http::request<http::string_body> request(isOrder ? http::verb::post : http::verb::get, "/item/" + std::to_string(number), 11);
            request.set(http::field::host, target.name);
            request.set(http::field::connection, "close");
            if (isOrder) {
                const auto key = std::to_string(m_options.seed) + "-" + std::to_string(number);
                if (m_options.sendsKeys)
                    request.set("Idempotency-Key", key);
                request.body() = "order " + key;
                record["key"] = key;
            }
            request.prepare_payload();
            co_await http::async_write(stream, request, asio::use_awaitable);
            beast::flat_buffer buffer;
            http::response<http::string_body> response;
            co_await http::async_read(stream, buffer, response, asio::use_awaitable);
            record["status"] = response.result_int();
            record["server"] = response.result_int() == 200 ? response.body().substr(0, response.body().find(' ')) : "";
            record["outcome"] = std::string(response["Clementinesill-Outcome"]);
            record["retry_after"] = std::string(response["Retry-After"]);
            record["matched"] = response.result_int() != 200 || response.body().find("/item/" + std::to_string(number) + " ") != std::string::npos;
        } catch (const boost::system::system_error& error) {
            record["error"] = error.code().message();
        }
        record["end"] = elapsedSeconds();
        write(record);
        --m_inFlight;
    }

    // Progress of one feed.
    struct FeedProgress {
        std::string server;
        std::uint64_t lines = 0;
        bool gap = false;
        // Time of the last line, and the longest time without a line, in seconds.
        double lastLineTime = 0;
        double longestSilence = 0;
        // The response was not 200. The feed is opened again after `retryAfter` seconds.
        bool rejected = false;
        double retryAfter = 1;
    };

    // Retries a rejected feed after its Retry-After time. A feed that broke is not opened again.
    asio::awaitable<void> runFeed(Target target, int index)
    {
        // Staggers the feeds, so that they do not all connect at once.
        co_await sleepUntil(0.02 * index);
        nlohmann::json record { { "kind", "feed" }, { "service", target.name }, { "start", elapsedSeconds() } };
        FeedProgress progress { .lastLineTime = elapsedSeconds() };
        int rejections = 0;
        try {
            co_await readFeed(target, progress);
            while (progress.rejected && !progress.lines && elapsedSeconds() < m_options.seconds) {
                ++rejections;
                co_await sleepUntil(elapsedSeconds() + progress.retryAfter);
                progress = { .lastLineTime = elapsedSeconds() };
                co_await readFeed(target, progress);
            }
        } catch (const boost::system::system_error& error) {
            record["error"] = error.code().message();
        }
        progress.longestSilence = std::max(progress.longestSilence, elapsedSeconds() - progress.lastLineTime);
        record["refusals"] = rejections;
        record["server"] = progress.server;
        record["lines"] = progress.lines;
        record["gap"] = progress.gap;
        record["longest_silence"] = progress.longestSilence;
        record["end"] = elapsedSeconds();
        record["whole"] = !record.contains("error") && elapsedSeconds() >= m_options.seconds && !progress.gap && progress.lines > 0;
        write(record);
    }

    asio::awaitable<void> readFeed(const Target& target, FeedProgress& progress)
    {
        asio::ip::tcp::socket socket(m_loop);
        co_await socket.async_connect(endpointOf(target), asio::use_awaitable);
        const auto request = "GET /feed HTTP/1.1\r\nHost: " + target.name + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        asio::streambuf buffer;
        while (elapsedSeconds() < m_options.seconds) {
            const auto line = co_await readLine(socket, buffer);
            if (!line)
                co_return;
            parseLine(*line, progress);
        }
    }

    void parseLine(const std::string& line, FeedProgress& progress)
    {
        constexpr std::string_view retryAfter = "Retry-After: ";
        if (line.starts_with("HTTP/1.1 "))
            progress.rejected = !line.starts_with("HTTP/1.1 200");
        if (line.starts_with(retryAfter))
            progress.retryAfter = std::stod(line.substr(retryAfter.size()));
        const auto space = line.find(' ');
        if (progress.rejected || space == std::string::npos || line.starts_with("HTTP/") || line.find(':') != std::string::npos)
            return;
        const auto name = line.substr(0, space);
        progress.gap = progress.gap || line.substr(space + 1) != std::to_string(progress.lines) || (!progress.server.empty() && progress.server != name);
        progress.server = name;
        ++progress.lines;
        progress.longestSilence = std::max(progress.longestSilence, elapsedSeconds() - progress.lastLineTime);
        progress.lastLineTime = elapsedSeconds();
    }

    // Returns the next line without its line ending, or nothing at the end of the run.
    asio::awaitable<std::optional<std::string>> readLine(asio::ip::tcp::socket& socket, asio::streambuf& buffer)
    {
        using namespace asio::experimental::awaitable_operators;
        const auto result = co_await (asio::async_read_until(socket, buffer, "\r\n", asio::use_awaitable) || sleepUntil(m_options.seconds));
        if (result.index() == 1)
            co_return std::nullopt;
        const auto length = std::get<0>(result);
        std::string line(asio::buffers_begin(buffer.data()), asio::buffers_begin(buffer.data()) + static_cast<std::ptrdiff_t>(length));
        buffer.consume(length);
        while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
            line.pop_back();
        co_return line;
    }

    static asio::ip::tcp::endpoint endpointOf(const Target& target)
    {
        return { asio::ip::address_v4(target.endpoint.address), target.endpoint.port };
    }

    void write(const nlohmann::json& record) { m_out << record.dump() << '\n'; }

    asio::io_context& m_loop;
    LoadOptions m_options;
    std::ostream& m_out;
    SeededRandom m_random;
    std::chrono::steady_clock::time_point m_start;
    std::size_t m_inFlight = 0;
    std::uint64_t m_requests = 0;
};

// Parses "NAME=ADDRESS:PORT/RATE/FEEDS".
Target parseTarget(const std::string& text)
{
    const auto equals = text.find('=');
    const auto first = text.find('/', equals);
    const auto second = text.find('/', first + 1);
    if (equals == std::string::npos || first == std::string::npos || second == std::string::npos)
        throw Error(ErrorKind::InvalidArgument, "'" + text + "' is not a valid target", "write NAME=ADDRESS:PORT/RATE/FEEDS");
    return { .name = text.substr(0, equals), .endpoint = parseEndpoint(text.substr(equals + 1, first - equals - 1)), .rate = std::stod(text.substr(first + 1, second - first - 1)), .feeds = std::stoi(text.substr(second + 1)) };
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("load", "Sends requests at a fixed rate and keeps feeds open.");
    options.add_options()("seconds", "duration of the run", cxxopts::value<double>()->default_value("10"))("order-share", "fraction of requests that are orders", cxxopts::value<double>()->default_value("0.2"))("without-keys", "send orders without Idempotency-Key")("timeout-ms", "timeout of each request", cxxopts::value<int>()->default_value("5000"))("seed", "seed of the arrival times", cxxopts::value<std::uint64_t>()->default_value("1"))("output", "output file, one JSON object per line", cxxopts::value<std::string>())("targets", "targets", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("targets");
    try {
        const auto arguments = options.parse(argc, argv);
        LoadOptions loadOptions { .seconds = arguments["seconds"].as<double>(), .orderShare = arguments["order-share"].as<double>(), .sendsKeys = !arguments.count("without-keys"), .timeout = std::chrono::milliseconds(arguments["timeout-ms"].as<int>()), .seed = arguments["seed"].as<std::uint64_t>() };
        for (const auto& text : arguments["targets"].as<std::vector<std::string>>())
            loadOptions.targets.push_back(parseTarget(text));
        std::ofstream out(arguments["output"].as<std::string>());
        asio::io_context loop(1);
        LoadGenerator generator(loop, loadOptions, out);
        generator.start();
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << "load: " << error.what() << '\n';
        return 1;
    }
}
