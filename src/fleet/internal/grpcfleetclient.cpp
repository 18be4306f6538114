#include "fleet/internal/grpcfleetclient.h"

#include "fleet/fleettable.h"
#include "fleet/internal/watchstream.h"
#include "fleet/tabledelta.h"
#include "foundation/error.h"
#include "foundation/log.h"

#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <span>
#include <utility>

namespace clementinesill::fleet {

namespace {

constexpr auto callTimeout = std::chrono::seconds(1);
// Longest wait between two tries of a daemon that has no table yet, or whose server is not registered: it serves nothing
// until it is told.
constexpr auto urgentBackoff = std::chrono::milliseconds(150);
constexpr auto relaxedBackoff = std::chrono::seconds(1);
// How long controllers are dialled before one that is not reached yet is asked, and how often that is looked at.
constexpr auto dialTimeout = std::chrono::milliseconds(300);
constexpr auto dialInterval = std::chrono::milliseconds(20);
constexpr auto registerTimeout = std::chrono::seconds(20);
// How often a service that the operators have not sent yet is asked for.
constexpr auto serviceInterval = std::chrono::milliseconds(500);
constexpr auto renewTimeout = std::chrono::seconds(3);
constexpr auto leaveTimeout = std::chrono::seconds(5);
// How long no controller may be heard before the daemon says so.
constexpr auto unreachableAfter = std::chrono::seconds(5);
// Heartbeats in a row with an older version than a peer's packet carried, after which another controller is asked.
constexpr int staleHeartbeatLimit = 3;
// Largest table accepted, in bytes.
constexpr int maximumMessageBytes = 64 << 20;

// Lets the channels connect for a moment: gRPC makes progress only while somebody waits for it.
void dial(std::span<const std::shared_ptr<grpc::Channel>> channels)
{
    grpc::CompletionQueue queue;
    const auto deadline = std::chrono::system_clock::now() + dialInterval;
    for (const auto& channel : channels)
        channel->NotifyOnStateChange(channel->GetState(true), deadline, &queue, nullptr);
    queue.Shutdown();
    void* tag = nullptr;
    bool changed = false;
    while (queue.Next(&tag, &changed)) { }
}

schema::Role roleOf(const schema::DaemonSettings& settings)
{
    if (settings.has_balancer())
        return schema::ROLE_BALANCER;
    return settings.has_agent() ? schema::ROLE_AGENT : schema::ROLE_UNSPECIFIED;
}

// Outcomes after which another try, at this or another controller, may do better.
bool worthRetrying(schema::Outcome::Code code)
{
    return code == schema::Outcome::CODE_NOT_LEADER || code == schema::Outcome::CODE_NO_QUORUM || code == schema::Outcome::CODE_UNKNOWN;
}

} // namespace

GrpcFleetClient::GrpcFleetClient(const schema::DaemonSettings& settings, const ControllerSource& source)
    : m_settings(settings)
    , m_source(source)
    , m_credentials(net::daemonCredentials(settings))
    , m_random(SeededRandom::fromEntropy())
    , m_callChoice(controllers(), m_random)
{
    m_callChoice.setLongestBackoff(urgentBackoff);
}

GrpcFleetClient::~GrpcFleetClient()
{
    stop();
}

void GrpcFleetClient::start()
{
    m_watchThread = std::thread([this] { watchLoop(); });
}

void GrpcFleetClient::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        if (m_watched)
            m_watched->TryCancel();
    }
    m_stopped.notify_all();
    if (m_watchThread.joinable())
        m_watchThread.join();
}

void GrpcFleetClient::watchLoop()
{
    auto random = SeededRandom::fromEntropy();
    ControllerChoice choice(controllers(), random);
    auto lastReceived = m_clock.now();
    bool alone = false;
    choice.setLongestBackoff(urgentBackoff);
    bool followed = false;
    while (!m_stopping) {
        if (!m_table.version() && !followed)
            preferReached(choice);
        const auto end = watchOnce(choice.current());
        if (m_stopping)
            return;
        if (end.received) {
            choice.succeeded();
            choice.setLongestBackoff(relaxedBackoff);
            lastReceived = m_clock.now();
        }
        if (const bool unreachable = m_clock.now() - lastReceived > unreachableAfter; unreachable != alone) {
            alone = unreachable;
            // Without a majority nothing is accepted, so the table held is still right, or the newest this daemon can have.
            log(alone ? LogLevel::Warn : LogLevel::Info, alone ? "controllers_unreachable" : "controllers_reachable", { { .key = "serving_version", .value = std::to_string(m_table.version()) } });
        }
        log(LogLevel::Info, "watch_ended", { { .key = "controller", .value = choice.current() }, { .key = "version", .value = std::to_string(m_table.version()) }, { .key = "reason", .value = end.reason } });
        if (!end.refused)
            dropConnection(choice.current());
        followed = end.refused;
        learnHint(choice, end.hint);
        pause(end.refused ? choice.follow(end.hint) : choice.failed());
    }
}

std::vector<std::string> GrpcFleetClient::controllers() const
{
    if (!m_source)
        return { m_settings.controllers().begin(), m_settings.controllers().end() };
    auto known = m_source();
    for (const auto& endpoint : m_learned) {
        if (std::find(known.begin(), known.end(), endpoint) == known.end())
            known.push_back(endpoint);
    }
    return known;
}

void GrpcFleetClient::learnControllers(const schema::TableUpdate& update)
{
    if (!m_source || update.controllers().empty())
        return;
    const std::lock_guard lock(m_mutex);
    if (std::equal(m_learned.begin(), m_learned.end(), update.controllers().begin(), update.controllers().end()))
        return;
    m_learned.assign(update.controllers().begin(), update.controllers().end());
    m_callChoice.replaceEndpoints(controllers());
}

// The leader may have joined after this daemon learned of the others.
void GrpcFleetClient::learnHint(ControllerChoice& choice, const std::string& hint)
{
    if (!m_source)
        return;
    const std::lock_guard lock(m_mutex);
    auto known = controllers();
    if (!hint.empty() && std::find(known.begin(), known.end(), hint) == known.end())
        known.push_back(hint);
    choice.replaceEndpoints(std::move(known));
}

// A connection that has gone silent is not used again: the next call opens a new one.
void GrpcFleetClient::dropConnection(const std::string& endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(endpoint);
}

// Without a table nothing is served: all controllers are dialled at once and one that is reached is asked first, so that a
// VM that is down delays nothing.
void GrpcFleetClient::preferReached(ControllerChoice& choice)
{
    const auto deadline = m_clock.now() + dialTimeout;
    const auto reached = [this](const auto& endpoint) { return connection(endpoint).channel->GetState(true) == GRPC_CHANNEL_READY; };
    while (!m_stopping && m_clock.now() < deadline) {
        std::vector<std::shared_ptr<grpc::Channel>> channels;
        {
            const std::lock_guard lock(m_mutex);
            if (choice.prefer(reached))
                return;
            for (const auto& endpoint : controllers())
                channels.push_back(connection(endpoint).channel);
        }
        dial(channels);
    }
}

GrpcFleetClient::WatchEnd GrpcFleetClient::watchOnce(const std::string& endpoint)
{
    schema::WatchRequest request;
    request.set_daemon(m_settings.name());
    request.set_role(roleOf(m_settings));
    request.set_zone(m_settings.zone());
    request.set_version(m_table.version());
    std::shared_ptr<Stub> target;
    grpc::ClientContext context;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return {};
        target = connection(endpoint).stub;
        m_watched = &context;
    }
    auto end = readWatch(endpoint, *target, request, context);
    const std::lock_guard lock(m_mutex);
    m_watched = nullptr;
    return end;
}

GrpcFleetClient::WatchEnd GrpcFleetClient::readWatch(const std::string& endpoint, Stub& target, const schema::WatchRequest& request, grpc::ClientContext& context)
{
    WatchStream stream(target, request, context);
    WatchEnd end;
    Duration lease = WatchStream::firstUpdateTimeout;
    int staleHeartbeats = 0;
    const bool open = stream.opened();
    while (const auto* update = open ? stream.read(lease) : nullptr) {
        const bool first = !m_table.version();
        if (!takeUpdate(*update)) {
            end.reason = "the controller's update does not fit the table held";
            return end;
        }
        if (first && m_table.version())
            noteFirstTable(endpoint);
        end.received = true;
        learnControllers(*update);
        staleHeartbeats = m_holder.highestVersionSeen() > m_table.version() ? staleHeartbeats + 1 : 0;
        if (staleHeartbeats >= staleHeartbeatLimit) {
            end.reason = "a peer holds a newer table than this controller gives";
            return end;
        }
        if (update->lease_ms())
            lease = std::chrono::milliseconds(update->lease_ms());
    }
    const auto status = stream.finish();
    end.reason = status.error_message();
    end.hint = status.error_details();
    end.refused = status.error_code() == grpc::StatusCode::UNAVAILABLE && !end.hint.empty();
    return end;
}

bool GrpcFleetClient::takeUpdate(const schema::TableUpdate& update)
{
    switch (update.update_case()) {
    case schema::TableUpdate::kTable:
        if (update.table().version() <= m_table.version())
            return update.table().version() == m_table.version();
        m_table = update.table();
        break;
    case schema::TableUpdate::kDelta:
        if (!applyDelta(m_table, update.delta()))
            return false;
        break;
    default:
        m_holder.confirm(update.version(), m_clock.now());
        return true;
    }
    offerTable();
    m_holder.confirm(m_table.version(), m_clock.now());
    return true;
}

void GrpcFleetClient::offerTable()
{
    try {
        m_holder.offer(std::make_shared<const FleetTable>(m_table));
        log(LogLevel::Info, "table_taken", { { .key = "version", .value = std::to_string(m_table.version()) } });
    } catch (const Error& error) {
        log(LogLevel::Error, "table_refused", { { .key = "version", .value = std::to_string(m_table.version()) }, { .key = "reason", .value = error.what() } });
    }
}

void GrpcFleetClient::pause(Duration duration)
{
    std::unique_lock lock(m_mutex);
    m_stopped.wait_for(lock, duration, [this] { return m_stopping.load(); });
}

// The controller that gave the first table leads; servers are registered with it. The other connections are closed.
void GrpcFleetClient::noteFirstTable(const std::string& endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_callChoice.prefer([&](const auto& known) { return known == endpoint; });
    std::erase_if(m_connections, [&](const auto& known) { return known.first != endpoint; });
    m_stopped.notify_all();
}

void GrpcFleetClient::awaitFirstTable(MonotonicTime deadline)
{
    std::unique_lock lock(m_mutex);
    m_stopped.wait_for(lock, deadline - m_clock.now(), [this, seen = m_interruptions.load()] { return interrupted(seen) || m_holder.table()->version(); });
}

// Called with m_mutex held.
const GrpcFleetClient::Connection& GrpcFleetClient::connection(const std::string& endpoint)
{
    auto& connection = m_connections[endpoint];
    if (connection.channel)
        return connection;
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 300);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 2000);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    connection.channel = grpc::CreateCustomChannel(endpoint, m_credentials.channel(), arguments);
    connection.stub = schema::Fleet::NewStub(connection.channel);
    return connection;
}

template <typename Request, typename Response>
Response GrpcFleetClient::call(grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Response*), const Request& request, Duration timeout)
{
    const auto deadline = m_clock.now() + timeout;
    const auto seen = m_interruptions.load();
    std::string problem = "no controller was asked";
    while (!interrupted(seen) && m_clock.now() < deadline) {
        std::string endpoint;
        std::shared_ptr<Stub> target;
        {
            const std::lock_guard lock(m_mutex);
            endpoint = m_callChoice.current();
            target = connection(endpoint).stub;
        }
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + std::min<Duration>(callTimeout, deadline - m_clock.now()));
        Response response;
        const auto status = ((*target).*method)(&context, request, &response);
        const auto& outcome = response.outcome();
        std::unique_lock lock(m_mutex);
        if (status.ok() && !worthRetrying(outcome.code())) {
            m_callChoice.succeeded();
            return response;
        }
        problem = status.ok() ? outcome.message() : status.error_message();
        if (!status.ok())
            m_connections.erase(endpoint);
        const auto wait = status.ok() ? m_callChoice.follow(outcome.leader_hint()) : m_callChoice.failed();
        m_stopped.wait_for(lock, wait, [this, seen] { return interrupted(seen); });
    }
    throw Error(ErrorKind::Unavailable, "no controller accepted the call in time (" + problem + ")", "check that a majority of the controllers runs and can be reached");
}

Registration GrpcFleetClient::registerServer(const schema::ServerAnnouncement& announcement)
{
    const auto deadline = m_clock.now() + registerTimeout;
    const auto seen = m_interruptions.load();
    schema::RegisterResponse response;
    // Only the leader registers servers, and it is known by the first table.
    awaitFirstTable(deadline);
    do {
        if (interrupted(seen))
            throw Error(ErrorKind::Unavailable, "the server was not registered before the daemon's stop", "it is registered at the daemon's next start");
        response = call(&Stub::Register, announcement, deadline - m_clock.now());
        if (response.outcome().code() != schema::Outcome::CODE_NOT_FOUND)
            break;
        // The service may still be on its way from the operators.
        pause(serviceInterval);
    } while (m_clock.now() < deadline);
    if (response.outcome().code() == schema::Outcome::CODE_NOT_FOUND)
        throw Error(ErrorKind::Unavailable, response.outcome().message(), "the agent asks again");
    if (response.outcome().code() != schema::Outcome::CODE_OK)
        throw Error(ErrorKind::InvalidArgument, "the controllers refused the announcement: " + response.outcome().message(), "correct the agent's settings");
    return { .serverId = response.server_id(), .incarnation = response.incarnation() };
}

bool GrpcFleetClient::renew(const schema::RenewRequest& request)
{
    const auto asked = m_clock.now();
    const auto response = call(&Stub::Renew, request, renewTimeout);
    if (response.outcome().code() == schema::Outcome::CODE_OK)
        m_holder.confirmByLeader(response.version(), asked);
    return response.outcome().code() == schema::Outcome::CODE_OK;
}

void GrpcFleetClient::leave(const Registration& registration, bool draining)
{
    schema::LeaveRequest request;
    request.set_server_id(registration.serverId);
    request.set_incarnation(registration.incarnation);
    request.set_draining(draining);
    call(&Stub::Leave, request, leaveTimeout);
}

void GrpcFleetClient::interruptCalls()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_interruptions;
    }
    m_stopped.notify_all();
}

} // namespace clementinesill::fleet
