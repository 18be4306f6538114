#include "requests/internal/serverpool.h"

#include "requests/requesttracker.h"

namespace clementinesill::requests {

namespace {
constexpr std::size_t maxIdleConnections = 16;
}

ServerPool::ServerPool(boost::asio::any_io_executor executor, RequestTracker& tracker)
    : m_executor(executor)
    , m_tracker(tracker)
{
}

std::shared_ptr<ServerConnection> ServerPool::create()
{
    ++m_lastId;
    return std::make_shared<ServerConnection>(m_lastId, m_executor);
}

std::shared_ptr<ServerConnection> ServerPool::take()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isReusable())
            return connection;
        drop(*connection);
    }
    return nullptr;
}

void ServerPool::put(std::shared_ptr<ServerConnection> connection)
{
    if (m_idle.size() < maxIdleConnections && connection->isReusable())
        m_idle.push_back(std::move(connection));
    else
        drop(*connection);
}

void ServerPool::clear()
{
    for (const auto& connection : m_idle)
        drop(*connection);
    m_idle.clear();
}

void ServerPool::drop(ServerConnection& connection)
{
    connection.abort(AbortReason::Closed);
    m_tracker.removeConnection(connection.id());
}

} // namespace clementinesill::requests
