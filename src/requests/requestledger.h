#pragma once

#include "requests/types/exchangeid.h"
#include "requests/types/outcome.h"

#include <cstddef>
#include <unordered_map>

namespace clementinesill::requests {

// Whether a server connection may carry a request.
enum class BindVerdict {
    Bound,
    // It carries another request.
    Busy,
    // Its last exchange was given up, so a late answer may still arrive on it.
    Lost,
    UnknownRequest,
};

// Whether an answer's first byte may go to the caller.
enum class AnswerVerdict {
    Deliver,
    // The connection carries no request: the answer is late or unsolicited.
    NoRequest,
    // The answer names another request than the one its connection carries.
    WrongRequest,
};

// Binds each request to one exchange with the server at a time and knows what a caller may be told of it.
//
// A request may have several exchanges, one after the other. Once any of them may have carried a byte of
// the request to the server, the request is never again reported as not run.
class RequestLedger {
public:
    RequestId begin();

    // Starts an exchange of the request on the connection; ends its exchange before, if any, as given up.
    BindVerdict bind(RequestId request, ConnectionId connection);

    // Called before the first byte of the request is written.
    void handOver(RequestId request);

    // Called with an answer's header. echoed: request the answer names, 0 if it names none.
    AnswerVerdict answer(ConnectionId connection, RequestId echoed);

    // Called before the first byte of the answer is written to the caller.
    void deliver(RequestId request);

    // Called after the whole answer: frees the connection for another request.
    void complete(RequestId request);

    // Ends the current exchange without an answer: its connection is lost.
    void giveUp(RequestId request);

    // Outcome as it stands: what the caller may be told now.
    Outcome outcome(RequestId request) const;

    // Forgets the request; an exchange in progress is given up.
    void end(RequestId request);

    // Forgets a closed connection.
    void closed(ConnectionId connection);

    std::size_t requests() const { return m_requests.size(); }
    std::size_t connections() const { return m_connections.size(); }

private:
    struct Request {
        ConnectionId connection = 0;
        bool handedOver = false;
        bool delivering = false;
        bool complete = false;
    };
    // What a connection carries; a request of 0 with lost unset is idle.
    struct Connection {
        RequestId request = 0;
        bool lost = false;
    };

    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<ConnectionId, Connection> m_connections;
    RequestId m_lastRequest = 0;
};

} // namespace clementinesill::requests
