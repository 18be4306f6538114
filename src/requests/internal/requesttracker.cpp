#include "requests/requesttracker.h"

namespace clementinesill::requests {

RequestId RequestTracker::begin()
{
    ++m_lastRequest;
    m_requests.emplace(m_lastRequest, Request {});
    return m_lastRequest;
}

BindResult RequestTracker::bind(RequestId request, ConnectionId connection)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return BindResult::UnknownRequest;
    auto& bound = m_connections[connection];
    if (bound.abandoned)
        return BindResult::Abandoned;
    if (bound.request != 0)
        return BindResult::Busy;
    abandonExchange(request);
    bound.request = request;
    found->second.connection = connection;
    return BindResult::Bound;
}

void RequestTracker::markSent(RequestId request)
{
    if (const auto found = m_requests.find(request); found != m_requests.end())
        found->second.sent = true;
}

ResponseCheck RequestTracker::checkResponse(ConnectionId connection, RequestId echoed)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.abandoned || found->second.request == 0)
        return ResponseCheck::NoRequest;
    const bool mustEcho = echoed != 0 || found->second.reused;
    if (mustEcho && echoed != found->second.request)
        return ResponseCheck::WrongRequest;
    const auto request = m_requests.find(found->second.request);
    if (request == m_requests.end() || !request->second.sent)
        return ResponseCheck::NoRequest;
    return ResponseCheck::Accepted;
}

void RequestTracker::markForwarding(RequestId request)
{
    if (const auto found = m_requests.find(request); found != m_requests.end())
        found->second.forwarding = true;
}

void RequestTracker::complete(RequestId request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.connection == 0)
        return;
    found->second.complete = true;
    if (const auto bound = m_connections.find(found->second.connection); bound != m_connections.end())
        bound->second = { .reused = true };
    found->second.connection = 0;
}

void RequestTracker::abandonExchange(RequestId request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.connection == 0)
        return;
    if (const auto bound = m_connections.find(found->second.connection); bound != m_connections.end())
        bound->second = { .abandoned = true };
    found->second.connection = 0;
}

Outcome RequestTracker::outcome(RequestId request) const
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return Outcome::Unknown;
    if (found->second.complete)
        return Outcome::Completed;
    if (found->second.forwarding)
        return Outcome::Truncated;
    return found->second.sent ? Outcome::Unknown : Outcome::NotRun;
}

void RequestTracker::end(RequestId request)
{
    abandonExchange(request);
    m_requests.erase(request);
}

void RequestTracker::removeConnection(ConnectionId connection)
{
    m_connections.erase(connection);
}

} // namespace clementinesill::requests
