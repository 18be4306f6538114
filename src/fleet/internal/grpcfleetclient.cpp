#include "fleet/internal/grpcfleetclient.h"

#include "fleet/controllerorder.h"
#include "fleet/fleettable.h"
#include "fleet/internal/watchstream.h"
#include "fleet/tabledelta.h"
#include "fleet/types/watchtiming.h"
#include "foundation/error.h"
#include "foundation/log.h"

#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <span>
#include <utility>

namespace clementinesill::fleet {

namespace {

// Timeout of one call to one controller.
constexpr auto attemptTimeout = std::chrono::seconds(1);
// Maximum backoff of the watch until the first table, and of all calls. It is short because a daemon serves nothing until it
// has a table and its server is registered.
constexpr auto maximumBackoffBeforeServing = std::chrono::milliseconds(150);
// Maximum backoff of the watch after the first table.
constexpr auto maximumBackoffWhileServing = std::chrono::seconds(1);
// Time to wait until any controller is connected. After it, the watch is opened at the current controller although that one is
// not connected yet.
constexpr auto connectTimeout = std::chrono::milliseconds(300);
// Interval at which the connections are checked.
constexpr auto connectPollInterval = std::chrono::milliseconds(20);
// Interval of registration retries while the controllers do not have the server's service yet.
constexpr auto unknownServiceRetryInterval = std::chrono::milliseconds(500);
constexpr auto renewTimeout = std::chrono::seconds(3);
constexpr auto leaveTimeout = std::chrono::seconds(5);
// Time without an update after which the controllers are logged as unreachable.
constexpr auto unreachableTimeout = std::chrono::seconds(5);
// The daemon switches to another controller after this number of consecutive updates or heartbeats that left its table older
// than the newest version that a peer or the leader has reported.
constexpr int staleUpdateLimit = 3;
// Maximum size of a received message, which limits the size of the table.
constexpr int maximumMessageBytes = 64 << 20;

// Lets the channels connect for connectPollInterval: gRPC connects a channel only while a thread waits for its state.
void pollChannels(std::span<const std::shared_ptr<grpc::Channel>> channels)
{
    grpc::CompletionQueue queue;
    const auto deadline = std::chrono::system_clock::now() + connectPollInterval;
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

// Whether a retry at the same or another controller may succeed.
bool isRetryable(schema::Outcome::Code code)
{
    return code == schema::Outcome::CODE_NOT_LEADER || code == schema::Outcome::CODE_NO_QUORUM || code == schema::Outcome::CODE_UNKNOWN;
}

} // namespace

GrpcFleetClient::GrpcFleetClient(const schema::DaemonSettings& settings, const ControllerSource& source)
    : m_settings(settings)
    , m_source(source)
    , m_credentials(net::daemonCredentials(settings))
    , m_random(SeededRandom::fromEntropy())
    , m_callSelector(controllers(), m_random)
{
    m_callSelector.setMaximumBackoff(maximumBackoffBeforeServing);
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
        if (m_watchContext)
            m_watchContext->TryCancel();
    }
    m_wakeUp.notify_all();
    if (m_watchThread.joinable())
        m_watchThread.join();
}

void GrpcFleetClient::watchLoop()
{
    auto random = SeededRandom::fromEntropy();
    ControllerSelector selector(controllers(), random);
    auto lastReceived = m_clock.now();
    bool reportedUnreachable = false;
    selector.setMaximumBackoff(maximumBackoffBeforeServing);
    bool redirected = false;
    while (!m_stopping) {
        if (!m_table.version() && !redirected)
            selectConnectedController(selector);
        const auto end = watchOnce(selector.current());
        if (m_stopping)
            return;
        m_failedWatches = end.received ? 0 : m_failedWatches + 1;
        if (end.received) {
            selector.onSuccess();
            selector.setMaximumBackoff(maximumBackoffWhileServing);
            lastReceived = m_clock.now();
        }
        if (const bool unreachable = m_clock.now() - lastReceived > unreachableTimeout; unreachable != reportedUnreachable) {
            reportedUnreachable = unreachable;
            // The daemon continues to use its current table. If the controllers have no majority, they accept no changes, so the
            // table is still valid; otherwise it is the newest that this daemon can get.
            log(reportedUnreachable ? LogLevel::Warn : LogLevel::Info, reportedUnreachable ? "controllers_unreachable" : "controllers_reachable", { { .key = "serving_version", .value = std::to_string(m_table.version()) } });
        }
        log(LogLevel::Info, "watch_ended", { { .key = "controller", .value = selector.current() }, { .key = "version", .value = std::to_string(m_table.version()) }, { .key = "reason", .value = end.reason } });
        if (!end.redirected)
            dropConnection(selector.current());
        redirected = end.redirected;
        updateControllers(selector, end.leaderHint);
        const auto backoff = end.redirected ? selector.onLeaderHint(end.leaderHint) : selector.onFailure();
        pause(end.isStale ? Duration::zero() : backoff);
    }
}

std::vector<std::string> GrpcFleetClient::controllers() const
{
    if (!m_source)
        return orderControllers({ m_settings.controllers().begin(), m_settings.controllers().end() }, m_settings.name());
    auto known = m_source();
    for (const auto& endpoint : m_learnedControllers) {
        if (std::find(known.begin(), known.end(), endpoint) == known.end())
            known.push_back(endpoint);
    }
    return orderControllers(std::move(known), m_settings.name());
}

void GrpcFleetClient::learnControllers(const schema::TableUpdate& update)
{
    if (!m_source || update.controllers().empty())
        return;
    const std::lock_guard lock(m_mutex);
    if (std::equal(m_learnedControllers.begin(), m_learnedControllers.end(), update.controllers().begin(), update.controllers().end()))
        return;
    m_learnedControllers.assign(update.controllers().begin(), update.controllers().end());
    m_callSelector.replaceEndpoints(controllers());
}

// Updates the selector's list of controllers. Adds the leader hint, because the leader may have joined the Raft group after the
// last update of the list.
void GrpcFleetClient::updateControllers(ControllerSelector& selector, const std::string& leaderHint)
{
    if (!m_source)
        return;
    const std::lock_guard lock(m_mutex);
    auto known = controllers();
    if (!leaderHint.empty() && std::find(known.begin(), known.end(), leaderHint) == known.end()) {
        known.push_back(leaderHint);
        known = orderControllers(std::move(known), m_settings.name());
    }
    selector.replaceEndpoints(std::move(known));
}

// Closes a connection that failed or timed out, so that the next call opens a new one.
void GrpcFleetClient::dropConnection(const std::string& endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(endpoint);
}

// Connects to all controllers at once and selects one that is connected. Used while the daemon has no table and serves
// nothing, so that a VM that is down causes no delay.
void GrpcFleetClient::selectConnectedController(ControllerSelector& selector)
{
    const auto deadline = m_clock.now() + connectTimeout;
    const auto connected = [this](const auto& endpoint) { return connection(endpoint).channel->GetState(true) == GRPC_CHANNEL_READY; };
    while (!m_stopping && m_clock.now() < deadline) {
        std::vector<std::shared_ptr<grpc::Channel>> channels;
        {
            const std::lock_guard lock(m_mutex);
            if (selector.selectIf(connected))
                return;
            for (const auto& endpoint : controllers())
                channels.push_back(connection(endpoint).channel);
        }
        pollChannels(channels);
    }
}

GrpcFleetClient::WatchEnd GrpcFleetClient::watchOnce(const std::string& endpoint)
{
    schema::WatchRequest request;
    request.set_daemon(m_settings.name());
    request.set_role(roleOf(m_settings));
    request.set_zone(m_settings.zone());
    request.set_version(m_table.version());
    std::shared_ptr<Stub> stub;
    grpc::ClientContext context;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return {};
        stub = connection(endpoint).stub;
        m_watchContext = &context;
    }
    auto end = readWatch(endpoint, *stub, request, context);
    const std::lock_guard lock(m_mutex);
    m_watchContext = nullptr;
    end.isStale = std::exchange(m_leavesStaleController, false);
    return end;
}

// Timeout of opening a stream and of its first update.
Duration GrpcFleetClient::watchTimeout() const
{
    if (!m_table.version())
        return firstUpdateTimeout;
    constexpr int maximumDoublings = 2;
    return std::min<Duration>(firstUpdateTimeout, renewedWatchTimeout * (1 << std::min(m_failedWatches, maximumDoublings)));
}

GrpcFleetClient::WatchEnd GrpcFleetClient::readWatch(const std::string& endpoint, Stub& stub, const schema::WatchRequest& request, grpc::ClientContext& context)
{
    WatchStream stream(stub, request, context, watchTimeout());
    WatchEnd end;
    Duration lease = watchTimeout();
    int staleUpdates = 0;
    const bool open = stream.waitUntilOpen();
    while (const auto* update = open ? stream.read(lease) : nullptr) {
        const bool hadNoTable = !m_table.version();
        if (!applyUpdate(*update)) {
            end.reason = "the controller's update does not apply to the current table";
            return end;
        }
        if (hadNoTable && m_table.version())
            onFirstTable(endpoint);
        if (!std::exchange(end.received, true))
            log(LogLevel::Info, "watch_opened", { { .key = "controller", .value = endpoint }, { .key = logkey::version, .value = std::to_string(m_table.version()) } });
        learnControllers(*update);
        logTableLag(endpoint);
        staleUpdates = m_holder.highestVersionSeen() > m_table.version() ? staleUpdates + 1 : 0;
        if (staleUpdates >= staleUpdateLimit) {
            end.reason = "a peer or the leader has a newer table than this controller";
            return end;
        }
        if (update->lease_ms())
            lease = std::chrono::milliseconds(update->lease_ms());
    }
    const auto status = stream.finish();
    end.reason = status.error_message();
    end.leaderHint = status.error_details();
    end.redirected = status.error_code() == grpc::StatusCode::UNAVAILABLE && !end.leaderHint.empty();
    return end;
}

void GrpcFleetClient::leaveStaleController(std::uint64_t newerVersion)
{
    const std::lock_guard lock(m_mutex);
    if (!m_watchContext || m_leavesStaleController || m_holder.table()->version() >= newerVersion)
        return;
    m_leavesStaleController = true;
    m_watchContext->TryCancel();
}

bool GrpcFleetClient::applyUpdate(const schema::TableUpdate& update)
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
    publishTable();
    m_holder.confirm(m_table.version(), m_clock.now());
    return true;
}

// Logs when a peer or the leader is known to have a newer table although this controller has sent an update, and when that has
// ended.
void GrpcFleetClient::logTableLag(const std::string& endpoint)
{
    const auto newest = m_holder.highestVersionSeen();
    const auto version = m_table.version();
    const bool behind = newest > version;
    if (std::exchange(m_reportedTableBehind, behind) == behind)
        return;
    log(behind ? LogLevel::Warn : LogLevel::Info, behind ? "table_behind" : "table_up_to_date", { { .key = logkey::version, .value = std::to_string(version) }, { .key = "newest_version", .value = std::to_string(newest) }, { .key = "controller", .value = endpoint } });
}

void GrpcFleetClient::publishTable()
{
    m_holder.replaceIfNewer(std::make_shared<const FleetTable>(m_table));
    log(LogLevel::Info, "table_taken", { { .key = "version", .value = std::to_string(m_table.version()) } });
}

void GrpcFleetClient::pause(Duration duration)
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait_for(lock, duration, [this] { return m_stopping.load(); });
}

// Directs calls such as registrations to the controller that sent the first table, because that controller is the leader.
// Closes the connections to the others.
void GrpcFleetClient::onFirstTable(const std::string& endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_callSelector.selectIf([&](const auto& known) { return known == endpoint; });
    std::erase_if(m_connections, [&](const auto& known) { return known.first != endpoint; });
    m_wakeUp.notify_all();
}

void GrpcFleetClient::waitForFirstTable(MonotonicTime deadline)
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait_for(lock, deadline - m_clock.now(), [this, interruptions = m_interruptions.load()] { return interruptedSince(interruptions) || m_holder.table()->version(); });
}

// The caller must hold m_mutex.
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
    const auto interruptions = m_interruptions.load();
    std::string lastError = "no controller was called";
    while (!interruptedSince(interruptions) && m_clock.now() < deadline) {
        std::string endpoint;
        std::shared_ptr<Stub> stub;
        {
            const std::lock_guard lock(m_mutex);
            endpoint = m_callSelector.current();
            stub = connection(endpoint).stub;
        }
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + std::min<Duration>(attemptTimeout, deadline - m_clock.now()));
        Response response;
        const auto status = ((*stub).*method)(&context, request, &response);
        const auto& outcome = response.outcome();
        std::unique_lock lock(m_mutex);
        if (status.ok() && !isRetryable(outcome.code())) {
            m_callSelector.onSuccess();
            return response;
        }
        lastError = status.ok() ? outcome.message() : "status " + std::to_string(status.error_code()) + " " + status.error_message();
        if (!status.ok())
            m_connections.erase(endpoint);
        const auto backoff = status.ok() ? m_callSelector.onLeaderHint(outcome.leader_hint()) : m_callSelector.onFailure();
        m_wakeUp.wait_for(lock, backoff, [this, interruptions] { return interruptedSince(interruptions); });
    }
    throw Error(ErrorKind::Unavailable, "no controller accepted the call in time (" + lastError + ")", "check that a majority of the controllers runs and is reachable");
}

Registration GrpcFleetClient::registerServer(const schema::ServerAnnouncement& announcement, Duration timeout)
{
    // No controller could parse it, so that no retry would succeed.
    if (!schema::ServerAnnouncement().ParseFromString(announcement.SerializeAsString()))
        throw Error(ErrorKind::InvalidArgument, "the announcement cannot be parsed", "use UTF-8 in all names");
    const auto deadline = m_clock.now() + timeout;
    const auto interruptions = m_interruptions.load();
    schema::RegisterResponse response;
    // Only the leader registers servers, and the first table comes from the leader.
    waitForFirstTable(deadline);
    do {
        if (interruptedSince(interruptions))
            throw Error(ErrorKind::Unavailable, "the server was not registered before the daemon was stopped", "it will be registered when the daemon starts again");
        response = call(&Stub::Register, announcement, deadline - m_clock.now());
        if (response.outcome().code() != schema::Outcome::CODE_NOT_FOUND)
            break;
        // The operators' configuration with the service may not have reached the controllers yet.
        pause(unknownServiceRetryInterval);
    } while (m_clock.now() < deadline);
    if (response.outcome().code() == schema::Outcome::CODE_NOT_FOUND)
        throw Error(ErrorKind::Unavailable, response.outcome().message(), "the agent retries the registration");
    if (response.outcome().code() == schema::Outcome::CODE_CONFLICT)
        throw Error(ErrorKind::Conflict, response.outcome().message(), "stop the other agent of this name, or announce the server with a new boot id");
    if (response.outcome().code() != schema::Outcome::CODE_OK)
        throw Error(ErrorKind::InvalidArgument, "the controllers rejected the announcement: " + response.outcome().message(), "correct the agent's settings");
    return { .serverId = response.server_id(), .incarnation = response.incarnation() };
}

bool GrpcFleetClient::renew(const schema::RenewRequest& request)
{
    const auto requestedAt = m_clock.now();
    const auto response = call(&Stub::Renew, request, renewTimeout);
    if (response.outcome().code() == schema::Outcome::CODE_OK)
        m_holder.confirmByLeader(response.version(), requestedAt);
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
    m_wakeUp.notify_all();
}

} // namespace clementinesill::fleet
