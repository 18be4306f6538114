#include "requests/requestledger.h"

namespace clementinesill::requests {

RequestId RequestLedger::begin()
{
    ++m_lastRequest;
    m_requests.emplace(m_lastRequest, Request {});
    return m_lastRequest;
}

BindVerdict RequestLedger::bind(RequestId request, ConnectionId connection)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return BindVerdict::UnknownRequest;
    auto& carrier = m_connections[connection];
    if (carrier.lost)
        return BindVerdict::Lost;
    if (carrier.request != 0)
        return BindVerdict::Busy;
    giveUp(request);
    carrier.request = request;
    found->second.connection = connection;
    return BindVerdict::Bound;
}

void RequestLedger::handOver(RequestId request)
{
    if (const auto found = m_requests.find(request); found != m_requests.end())
        found->second.handedOver = true;
}

AnswerVerdict RequestLedger::answer(ConnectionId connection, RequestId echoed)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.lost || found->second.request == 0)
        return AnswerVerdict::NoRequest;
    if (echoed != 0 && echoed != found->second.request)
        return AnswerVerdict::WrongRequest;
    const auto request = m_requests.find(found->second.request);
    if (request == m_requests.end() || !request->second.handedOver)
        return AnswerVerdict::NoRequest;
    return AnswerVerdict::Deliver;
}

void RequestLedger::deliver(RequestId request)
{
    if (const auto found = m_requests.find(request); found != m_requests.end())
        found->second.delivering = true;
}

void RequestLedger::complete(RequestId request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.connection == 0)
        return;
    found->second.complete = true;
    if (const auto carrier = m_connections.find(found->second.connection); carrier != m_connections.end())
        carrier->second.request = 0;
    found->second.connection = 0;
}

void RequestLedger::giveUp(RequestId request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.connection == 0)
        return;
    if (const auto carrier = m_connections.find(found->second.connection); carrier != m_connections.end())
        carrier->second = { .lost = true };
    found->second.connection = 0;
}

Outcome RequestLedger::outcome(RequestId request) const
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return Outcome::Unknown;
    if (found->second.complete)
        return Outcome::Answered;
    if (found->second.delivering)
        return Outcome::Cut;
    return found->second.handedOver ? Outcome::Unknown : Outcome::NotRun;
}

void RequestLedger::end(RequestId request)
{
    giveUp(request);
    m_requests.erase(request);
}

void RequestLedger::closed(ConnectionId connection)
{
    m_connections.erase(connection);
}

} // namespace clementinesill::requests
