#pragma once

#include "requests/internal/serverconnection.h"

#include <memory>
#include <vector>

namespace clementinesill::requests {

class RequestTracker;

// Pool of idle connections to the backend server.
class ServerPool {
public:
    ServerPool(boost::asio::any_io_executor executor, RequestTracker& tracker);

    // A new connection, not yet connected.
    std::shared_ptr<ServerConnection> create();

    // The most recently used connection that is still alive; null if there is none.
    std::shared_ptr<ServerConnection> take();

    // Keeps the connection if it is reusable, or else closes it.
    void put(std::shared_ptr<ServerConnection> connection);

    void clear();

private:
    void drop(ServerConnection& connection);

    boost::asio::any_io_executor m_executor;
    RequestTracker& m_tracker;
    std::vector<std::shared_ptr<ServerConnection>> m_idle;
    ConnectionId m_lastId = 0;
};

} // namespace clementinesill::requests
