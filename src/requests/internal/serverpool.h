#pragma once

#include "requests/internal/serverconnection.h"

#include <memory>
#include <vector>

namespace clementinesill::requests {

class RequestLedger;

// Idle connections to the backend server.
class ServerPool {
public:
    ServerPool(boost::asio::any_io_executor executor, RequestLedger& ledger);

    // A new connection, not yet connected.
    std::shared_ptr<ServerConnection> create();

    // The connection used last that is still alive; null if there is none.
    std::shared_ptr<ServerConnection> take();

    // Keeps the connection if it is reusable, closes it otherwise.
    void put(std::shared_ptr<ServerConnection> connection);

    void clear();

private:
    void drop(ServerConnection& connection);

    boost::asio::any_io_executor m_executor;
    RequestLedger& m_ledger;
    std::vector<std::shared_ptr<ServerConnection>> m_idle;
    ConnectionId m_lastId = 0;
};

} // namespace clementinesill::requests
