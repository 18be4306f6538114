#include "requests/internal/serverpool.h"

#include "requests/requestledger.h"

namespace clementinesill::requests {

namespace {
constexpr std::size_t idleConnections = 16;
}

ServerPool::ServerPool(boost::asio::any_io_executor executor, RequestLedger& ledger)
    : m_executor(executor)
    , m_ledger(ledger)
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
        if (connection->reusable())
            return connection;
        drop(*connection);
    }
    return nullptr;
}

void ServerPool::put(std::shared_ptr<ServerConnection> connection)
{
    if (m_idle.size() < idleConnections && connection->reusable())
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
    m_ledger.closed(connection.id());
}

} // namespace clementinesill::requests
