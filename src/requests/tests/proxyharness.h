#pragma once

#include "admission/admission.h"
#include "fakeserver.h"
#include "fakestream.h"
#include "foundation/metrics.h"
#include "foundation/systemclock.h"
#include "requests/irequestproxy.h"

#include <optional>

namespace clementinesill::requests {

// A proxy, its backend server on loopback and in-memory callers, run on one thread until a condition holds.
class ProxyHarness {
public:
    explicit ProxyHarness(FakeServer::Script script, RequestProxyOptions options = {})
        : admission({ .slots = 5, .connectionLimit = 100, .warmupOff = true }, clock)
    {
        server.emplace(context, std::move(script));
        options.service = "orders";
        options.server = { .address = 0x7f000001, .port = server->port() };
        options.limits.lingerTimeout = std::chrono::milliseconds(2);
        proxy = makeRequestProxy(options, admission, clock, metrics, context);
        m_options = options;
    }

    // Must be called before the first connect.
    void useClaims(IKeyClaims& claims) { proxy = makeRequestProxy(m_options, admission, clock, metrics, context, &claims); }

    ~ProxyHarness()
    {
        for (auto& caller : m_callers)
            caller->stream.reset();
        server->stop();
        runUntil([this] { return served == m_callers.size(); });
    }

    FakeStream& connect()
    {
        m_callers.push_back(std::make_unique<Caller>(context));
        auto& caller = *m_callers.back();
        caller.context.caller = { .address = 0x0a000001, .port = 5000 };
        boost::asio::co_spawn(context, proxy->serve(caller.stream, caller.context), [this](std::exception_ptr) { ++served; });
        return caller.stream;
    }

    // Returns whether the condition became true; the time limit only ends a hanging test.
    template <class Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        context.restart();
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            context.run_one_for(std::chrono::milliseconds(50));
            context.restart();
        }
        return true;
    }

    bool runUntilReceived(FakeStream& stream, std::string_view text)
    {
        return runUntil([&] { return stream.received.find(text) != std::string::npos; });
    }

    bool runUntilServed()
    {
        return runUntil([this] { return served == m_callers.size(); });
    }

    boost::asio::io_context context;
    SystemClock clock;
    MetricsRegistry metrics;
    admission::Admission admission;
    std::optional<FakeServer> server;
    std::unique_ptr<IRequestProxy> proxy;
    std::size_t served = 0;

private:
    struct Caller {
        explicit Caller(boost::asio::io_context& context)
            : stream(context.get_executor())
        {
        }
        FakeStream stream;
        CallerContext context;
    };

    RequestProxyOptions m_options;
    std::vector<std::unique_ptr<Caller>> m_callers;
};

} // namespace clementinesill::requests
