#include "requests/internal/callerconnection.h"
#include "requests/irequestproxy.h"

#include "foundation/log.h"
#include "foundation/metrics.h"

#include <set>

namespace clementinesill::requests {

namespace {

class RequestProxy final : public IRequestProxy {
public:
    RequestProxy(const RequestProxyOptions& options, admission::IAdmission& admission, const IClock& clock, MetricsRegistry& metrics, boost::asio::io_context& context, IKeyClaims* claims)
        : m_state(options, admission, clock, metrics, context.get_executor(), claims)
    {
    }

    boost::asio::awaitable<void> serve(IByteStream& caller, const CallerContext& context) override
    {
        CallerConnection connection(m_state, caller, context);
        m_connections.insert(&connection);
        try {
            co_await connection.run();
        } catch (const std::exception& error) {
            log(LogLevel::Error, "caller_connection_failed", { { "service", m_state.options.service }, { "reason", error.what() } });
        }
        m_connections.erase(&connection);
    }

    void drain() override
    {
        m_state.draining = true;
        m_state.pool.clear();
        for (auto* connection : m_connections)
            connection->drain();
    }

    void resume() override { m_state.draining = false; }

private:
    ProxyState m_state;
    std::set<CallerConnection*> m_connections;
};

} // namespace

std::unique_ptr<IRequestProxy> makeRequestProxy(const RequestProxyOptions& options, admission::IAdmission& admission, const IClock& clock, MetricsRegistry& metrics, boost::asio::io_context& context, IKeyClaims* claims)
{
    return std::make_unique<RequestProxy>(options, admission, clock, metrics, context, claims);
}

} // namespace clementinesill::requests
