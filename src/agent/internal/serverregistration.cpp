#include "agent/internal/serverregistration.h"

#include "foundation/error.h"
#include "foundation/log.h"

namespace clementinesill::agent {

namespace {

// The lease lasts 3 s, so that it survives three lost renewals.
constexpr std::chrono::milliseconds leaseRenewalInterval { 700 };
// Time limit of a registration.
constexpr std::chrono::seconds registerTimeout { 20 };

} // namespace

ServerRegistration::ServerRegistration(fleet::IFleetClient& client, const schema::ServerAnnouncement& announcement)
    : m_client(client)
    , m_announcement(announcement)
{
}

ServerRegistration::~ServerRegistration()
{
    stop();
}

fleet::Registration ServerRegistration::registerServer()
{
    m_registration = m_client.registerServer(m_announcement, registerTimeout);
    return m_registration;
}

void ServerRegistration::start()
{
    m_thread = std::thread([this] { renewLeaseUntilStopped(); });
}

void ServerRegistration::setReport(const ServerReport& report)
{
    const std::lock_guard lock(m_mutex);
    m_report = report;
}

void ServerRegistration::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopCondition.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ServerRegistration::leave(bool draining)
{
    try {
        m_client.leave(m_registration, draining);
    } catch (const Error& error) {
        log(LogLevel::Warn, "leave_failed", { { "reason", error.what() } });
    }
}

void ServerRegistration::renewLeaseUntilStopped()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopCondition.wait_for(lock, leaseRenewalInterval, [this] { return m_stopping; })) {
        lock.unlock();
        renew();
        lock.lock();
    }
}

void ServerRegistration::renew()
{
    schema::RenewRequest request;
    request.set_server_id(m_registration.serverId);
    request.set_incarnation(m_registration.incarnation);
    {
        const std::lock_guard lock(m_mutex);
        request.set_in_progress(m_report.inProgress);
        request.set_flows(m_report.flows);
        request.set_healthy(m_report.healthy);
        request.set_warmup_limit(m_report.warmupLimit);
    }
    try {
        if (!m_replaced && !m_client.renew(request))
            registerAgain();
    } catch (const Error& error) {
        log(LogLevel::Warn, "renew_failed", { { "reason", error.what() } });
    }
}

// Called when the lease has expired. The controllers return the same id and incarnation for the same boot id, unless a newer
// process has registered under the name.
void ServerRegistration::registerAgain()
{
    try {
        const auto registration = m_client.registerServer(m_announcement, registerTimeout);
        m_replaced = registration.serverId != m_registration.serverId || registration.incarnation != m_registration.incarnation;
    } catch (const Error& error) {
        if (error.kind() != ErrorKind::InvalidArgument && error.kind() != ErrorKind::Conflict)
            throw;
        m_replaced = true;
    }
    if (m_replaced)
        log(LogLevel::Error, "server_replaced", { { "server", m_announcement.name() }, { "reason", "another process registered under the name" } });
}

} // namespace clementinesill::agent
