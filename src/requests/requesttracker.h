#pragma once

#include "requests/types/exchangeid.h"
#include "requests/types/outcome.h"

#include <cstddef>
#include <unordered_map>

namespace clementinesill::requests {

// Whether a server connection may carry a request.
enum class BindResult {
    Bound,
    // It carries another request.
    Busy,
    // Its last exchange was abandoned, so a late response may still arrive on it.
    Abandoned,
    UnknownRequest,
};

// Whether a response may be forwarded to the caller.
enum class ResponseCheck {
    Accepted,
    // The connection carries no request: the response is late or unsolicited.
    NoRequest,
    // The response echoes the id of another request than the one its connection carries, or none on a reused connection.
    WrongRequest,
};

// Tracks the exchanges of each request with the server and the outcome to report to the caller.
//
// A request has one exchange at a time and may have several in sequence. Once any of them may have sent a byte of the
// request to the server, the request is never reported as not run.
class RequestTracker {
public:
    RequestId begin();

    // Starts an exchange of the request on the connection; abandons the request's previous exchange, if any.
    BindResult bind(RequestId request, ConnectionId connection);

    // Must be called before the first byte of the request is written.
    void markSent(RequestId request);

    // Called with a response's header. echoed: id of the request that the response echoes, 0 if none. On a connection that has
    // carried another request before, a response without id may be a late copy of an earlier one and is not accepted.
    ResponseCheck checkResponse(ConnectionId connection, RequestId echoed);

    // Must be called before the first byte of the response is written to the caller.
    void markForwarding(RequestId request);

    // The response is complete: frees the connection for another request.
    void complete(RequestId request);

    // Ends the current exchange without a response; its connection takes no other request.
    void abandonExchange(RequestId request);

    // Outcome to report to the caller now.
    Outcome outcome(RequestId request) const;

    // Removes the request; abandons an exchange in progress.
    void end(RequestId request);

    void removeConnection(ConnectionId connection);

    std::size_t requests() const { return m_requests.size(); }
    std::size_t connections() const { return m_connections.size(); }

private:
    struct Request {
        ConnectionId connection = 0;
        bool sent = false;
        bool forwarding = false;
        bool complete = false;
    };
    // request: 0 if the connection carries none; it is then idle unless abandoned.
    struct Connection {
        RequestId request = 0;
        bool abandoned = false;
        // It has carried a complete exchange.
        bool reused = false;
    };

    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<ConnectionId, Connection> m_connections;
    RequestId m_lastRequest = 0;
};

} // namespace clementinesill::requests
