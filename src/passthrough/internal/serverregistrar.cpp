#include "passthrough/internal/serverregistrar.h"

#include "foundation/error.h"
#include "foundation/hash.h"
#include "foundation/log.h"

#include <utility>

namespace clementinesill::passthrough {

namespace {

// A lease lasts 3 s, so two renewals in a row may be lost.
constexpr std::chrono::milliseconds renewInterval { 1000 };
// Time limit of one attempt to register; the state may have changed since it began. Shorter than a lease.
constexpr std::chrono::milliseconds registerTimeout { 2000 };
// Delay after an attempt that failed.
constexpr std::chrono::milliseconds registerRetryInterval { 100 };
// How often stop() interrupts calls that the thread may have started since the last interruption.
constexpr std::chrono::milliseconds interruptInterval { 50 };
// Limits an agent that waits for the leader's confirmation to 20 renewals per second.
constexpr std::chrono::milliseconds requestedRenewalDelay { 50 };

// Boot ids tried for one instance in a row.
constexpr std::uint64_t maximumBootIds = 32;

} // namespace

// Identical for all heartbeats of one server instance, also across restarts of this agent, until the controllers have recorded that
// it was replaced. Never 0.
std::uint64_t ServerRegistrar::bootId(const ServerHeartbeat& heartbeat) const
{
    return hash64(std::as_bytes(std::span(heartbeat.name)), heartbeat.startedAtMs + m_usedBootIds) | 1;
}

ServerRegistrar::ServerRegistrar(fleet::IFleetClient& client, std::string endpoint, Registered registered, Renewed renewed)
    : m_client(client)
    , m_endpoint(std::move(endpoint))
    , m_registered(std::move(registered))
    , m_renewed(std::move(renewed))
    , m_thread([this] { run(); })
{
}

ServerRegistrar::~ServerRegistrar()
{
    stop();
}

void ServerRegistrar::setServer(const ServerHeartbeat& heartbeat, const ServerInstanceState& state)
{
    {
        const std::lock_guard lock(m_mutex);
        if (state.restarted)
            m_client.interruptCalls();
        m_desired = { .heartbeat = heartbeat, .verified = state.verified, .gone = false };
        m_restarted = m_restarted || state.restarted;
        m_drainEnded = (m_drainEnded && !heartbeat.draining) || state.endsDrain;
        m_changed = true;
    }
    m_wake.notify_all();
}

void ServerRegistrar::setServerGone()
{
    {
        const std::lock_guard lock(m_mutex);
        m_client.interruptCalls();
        m_desired.gone = true;
        m_changed = true;
    }
    m_wake.notify_all();
}

void ServerRegistrar::requestRenewal()
{
    {
        const std::lock_guard lock(m_mutex);
        m_renewalRequested = true;
    }
    m_wake.notify_all();
}

void ServerRegistrar::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    {
        // A call may start right after the earlier calls were interrupted, so interrupt until the thread has ended.
        std::unique_lock lock(m_mutex);
        while (!m_threadDone) {
            m_client.interruptCalls();
            m_wake.wait_for(lock, interruptInterval, [this] { return m_threadDone; });
        }
    }
    if (m_thread.joinable())
        m_thread.join();
}

void ServerRegistrar::run()
{
    reconcileUntilStopped();
    const std::lock_guard lock(m_mutex);
    m_threadDone = true;
    m_wake.notify_all();
}

void ServerRegistrar::reconcileUntilStopped()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait_for(lock, m_registrationFailed ? registerRetryInterval : renewInterval, [this] { return m_stopping || m_changed || m_renewalRequested; });
        // Requested renewals come in bursts; a single renewal serves the whole burst.
        if (m_renewalRequested && !m_changed)
            m_wake.wait_for(lock, requestedRenewalDelay, [this] { return m_stopping || m_changed; });
        if (m_stopping)
            return;
        m_changed = false;
        m_renewalRequested = false;
        const auto desired = m_desired;
        const bool restarted = std::exchange(m_restarted, false);
        const bool drainEnded = std::exchange(m_drainEnded, false);
        lock.unlock();
        if (restarted) {
            m_bootId = 0;
            m_usedBootIds = drainEnded && mayHaveAnnounced(*desired.heartbeat) ? m_usedBootIds + 1 : 0;
        }
        try {
            m_registrationFailed = false;
            reconcile(desired);
        } catch (const Error& error) {
            m_registrationFailed = !m_bootId && error.kind() == ErrorKind::Unavailable;
            log(LogLevel::Warn, "server_not_registered", { { .key = logkey::server, .value = desired.heartbeat ? desired.heartbeat->name : "" }, { .key = logkey::reason, .value = error.problem() }, { .key = logkey::remedy, .value = error.remedy() } });
        }
        lock.lock();
    }
}

void ServerRegistrar::reconcile(const DesiredState& desired)
{
    if (!desired.heartbeat)
        return;
    if (desired.gone) {
        if (std::exchange(m_bootId, 0))
            m_client.leave(m_registration, false);
        return;
    }
    if (!m_bootId)
        registerServer(desired);
    if (desired.heartbeat->draining && !m_drainingReported) {
        m_client.leave(m_registration, true);
        m_drainingReported = true;
    }
    schema::RenewRequest request;
    request.set_server_id(m_registration.serverId);
    request.set_incarnation(m_registration.incarnation);
    request.set_healthy(true);
    if (m_client.renew(request))
        m_renewed();
    else
        m_bootId = 0;
}

// The controllers never accept the boot id of an instance that another one has replaced. An instance that was replaced by mistake
// and is known to run, such as one whose predecessor's delayed heartbeat was taken for a restart, gets another boot id.
fleet::Registration ServerRegistrar::announce(const DesiredState& desired)
{
    while (true) {
        try {
            return m_client.registerServer(announcement(*desired.heartbeat), registerTimeout);
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::Conflict || !desired.verified || m_usedBootIds >= maximumBootIds)
                throw;
            log(LogLevel::Warn, "registration_rejected", { { .key = logkey::server, .value = desired.heartbeat->name }, { .key = logkey::reason, .value = error.problem() } });
            ++m_usedBootIds;
        }
    }
}

// Whether the controllers may have a drain under the first boot id of the instance, which only another boot id ends. An agent that
// was restarted cannot tell what the earlier one announced.
bool ServerRegistrar::mayHaveAnnounced(const ServerHeartbeat& heartbeat) const
{
    return !m_announced || m_announced->isSameInstance(heartbeat);
}

void ServerRegistrar::registerServer(const DesiredState& desired)
{
    const auto& heartbeat = *desired.heartbeat;
    m_announced = heartbeat;
    m_registration = announce(desired);
    m_bootId = bootId(heartbeat);
    m_drainingReported = false;
    log(LogLevel::Info, "server_registered", { { .key = logkey::server, .value = heartbeat.name }, { .key = logkey::service, .value = heartbeat.service }, { .key = "incarnation", .value = std::to_string(m_registration.incarnation) } });
    m_registered(m_registration);
}

schema::ServerAnnouncement ServerRegistrar::announcement(const ServerHeartbeat& heartbeat) const
{
    schema::ServerAnnouncement result;
    result.set_name(heartbeat.name);
    result.set_service(heartbeat.service);
    result.set_zone(heartbeat.zone);
    result.set_agent_endpoint(m_endpoint);
    result.set_weight(1);
    result.set_slots(heartbeat.slots);
    result.set_boot_id(bootId(heartbeat));
    return result;
}

} // namespace clementinesill::passthrough
