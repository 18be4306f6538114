#include "passthrough/internal/serverlink.h"

#include "foundation/error.h"
#include "foundation/hash.h"
#include "foundation/log.h"

#include <utility>

namespace clementinesill::passthrough {

namespace {

// A lease lasts 3 s; two renewals may be lost.
constexpr std::chrono::milliseconds renewInterval { 1000 };
// How often a stop interrupts what the link's thread may have begun since.
constexpr std::chrono::milliseconds interruptInterval { 50 };
// Keeps an agent that waits for the leader's word below 20 renewals a second.
constexpr std::chrono::milliseconds renewSoonDelay { 50 };

// The same for each heartbeat of one start, also over restarts of this agent.
std::uint64_t bootId(const ServerBeat& beat)
{
    return hash64(std::as_bytes(std::span(beat.name)), beat.startedAtMs) | 1;
}

} // namespace

ServerLink::ServerLink(fleet::IFleetClient& client, std::string endpoint, Registered registered, Renewed renewed)
    : m_client(client)
    , m_endpoint(std::move(endpoint))
    , m_registered(std::move(registered))
    , m_renewed(std::move(renewed))
    , m_thread([this] { run(); })
{
}

ServerLink::~ServerLink()
{
    stop();
}

void ServerLink::setServer(const ServerBeat& beat)
{
    {
        const std::lock_guard lock(m_mutex);
        m_wanted = { .beat = beat, .gone = false };
        m_changed = true;
    }
    m_wake.notify_all();
}

void ServerLink::setGone()
{
    {
        const std::lock_guard lock(m_mutex);
        m_wanted.gone = true;
        m_changed = true;
    }
    m_wake.notify_all();
}

void ServerLink::renewSoon()
{
    {
        const std::lock_guard lock(m_mutex);
        m_renewSoon = true;
    }
    m_wake.notify_all();
}

void ServerLink::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    {
        // A call may begin just as the calls before it are interrupted.
        std::unique_lock lock(m_mutex);
        while (!m_ended) {
            m_client.interruptCalls();
            m_wake.wait_for(lock, interruptInterval, [this] { return m_ended; });
        }
    }
    if (m_thread.joinable())
        m_thread.join();
}

void ServerLink::run()
{
    follow();
    const std::lock_guard lock(m_mutex);
    m_ended = true;
    m_wake.notify_all();
}

void ServerLink::follow()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait_for(lock, renewInterval, [this] { return m_stopping || m_changed || m_renewSoon; });
        // Requests to renew soon come in a burst: one renewal answers them all.
        if (m_renewSoon && !m_changed)
            m_wake.wait_for(lock, renewSoonDelay, [this] { return m_stopping || m_changed; });
        if (m_stopping)
            return;
        m_changed = false;
        m_renewSoon = false;
        const auto wanted = m_wanted;
        lock.unlock();
        try {
            reconcile(wanted);
        } catch (const Error& error) {
            log(LogLevel::Warn, "server_not_registered", { { .key = logkey::reason, .value = error.problem() }, { .key = logkey::remedy, .value = error.remedy() } });
        }
        lock.lock();
    }
}

void ServerLink::reconcile(const Wanted& wanted)
{
    if (!wanted.beat)
        return;
    if (wanted.gone) {
        if (std::exchange(m_bootId, 0))
            m_client.leave(m_registration, false);
        return;
    }
    if (m_bootId != bootId(*wanted.beat))
        registerStart(*wanted.beat);
    if (wanted.beat->draining && !m_toldDraining) {
        m_client.leave(m_registration, true);
        m_toldDraining = true;
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

void ServerLink::registerStart(const ServerBeat& beat)
{
    m_registration = m_client.registerServer(announcement(beat));
    m_bootId = bootId(beat);
    m_toldDraining = false;
    log(LogLevel::Info, "server_registered", { { .key = logkey::server, .value = beat.name }, { .key = logkey::service, .value = beat.service }, { .key = "incarnation", .value = std::to_string(m_registration.incarnation) } });
    m_registered(m_registration);
}

schema::ServerAnnouncement ServerLink::announcement(const ServerBeat& beat) const
{
    schema::ServerAnnouncement result;
    result.set_name(beat.name);
    result.set_service(beat.service);
    result.set_zone(beat.zone);
    result.set_agent_endpoint(m_endpoint);
    result.set_weight(1);
    result.set_slots(beat.slots);
    result.set_boot_id(bootId(beat));
    return result;
}

} // namespace clementinesill::passthrough
