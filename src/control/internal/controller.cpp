#include "control/internal/controller.h"

#include "fleet/types/watchtiming.h"
#include "foundation/error.h"
#include "foundation/hash.h"
#include "foundation/log.h"
#include "operators/foldermerge.h"

namespace clementinesill::control {

namespace {

using boost::asio::awaitable;

using fleet::watchHeartbeatInterval;

// Interval at which a stream of events without new ones is checked.
constexpr auto eventPollInterval = std::chrono::seconds(1);
// Interval at which the leader checks leases and flap damping.
constexpr auto supervisionInterval = std::chrono::milliseconds(500);
// A follower has no leases to check; the supervision is woken when leadership changes.
constexpr auto followerSupervisionInterval = std::chrono::hours(1);
// Interval at which a controller that has no update for a daemon, such as a follower that is behind it, checks again.
constexpr auto retryInterval = std::chrono::milliseconds(200);

std::uint64_t fingerprintOf(const google::protobuf::Message& message)
{
    const auto bytes = message.SerializeAsString();
    return hash64(std::as_bytes(std::span(bytes)), 0);
}

std::uint64_t wallClockMs()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

Controller::Controller(boost::asio::io_context& context, const ControllerOptions& options, FleetState& state, ICommandLog& log, const IClock& clock)
    : m_context(context)
    , m_options(options)
    , m_state(state)
    , m_log(log)
    , m_clock(clock)
    , m_leases(clock, { .lease = options.serverLease })
    , m_damping(clock, {})
    , m_feed(state, log)
    , m_supervisionWakeup(context)
{
}

awaitable<void> Controller::watch(std::shared_ptr<TableWriter> writer, schema::WatchRequest request)
{
    auto& session = m_watchers[writer];
    session = { .request = request, .version = request.version(), .lastWrite = m_clock.now() };
    FeedDecision decision;
    while (!writer->ended() && !m_stopping) {
        decision = m_feed.decide(session.version);
        if (decision.action == FeedDecision::Action::Reject)
            break;
        if (decision.action == FeedDecision::Action::Send) {
            auto update = std::make_shared<schema::TableUpdate>(*decision.update);
            update->set_lease_ms(static_cast<std::uint32_t>(fleet::watchLease.count()));
            for (const auto& endpoint : m_log.memberEndpoints())
                update->add_controllers(endpoint);
            if (!co_await writer->write(std::move(update)))
                break;
            session.version = decision.version;
            session.lastWrite = m_clock.now();
        }
        if (session.version == m_state.version())
            co_await writer->sleep(watchHeartbeatInterval);
        else if (decision.action == FeedDecision::Action::Wait)
            co_await writer->sleep(retryInterval);
    }
    m_watchers.erase(writer);
    if (decision.action != FeedDecision::Action::Reject)
        decision.reason = "this controller is shutting down; connect to another one";
    // The binary details of the status contain the leader's endpoint, which the daemon connects to next.
    writer->finish({ grpc::StatusCode::UNAVAILABLE, decision.reason, m_log.leaderEndpoint() });
}

awaitable<void> Controller::registerServer(const schema::ServerAnnouncement& announcement, schema::RegisterResponse& response)
{
    auto command = this->makeCommand();
    *command.mutable_announcement() = announcement;
    const auto result = co_await m_log.submit(std::move(command));
    setOutcome(*response.mutable_outcome(), result);
    response.set_server_id(result.serverId);
    response.set_incarnation(result.incarnation);
    response.set_version(result.version);
    response.set_lease_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.serverLease).count()));
}

awaitable<void> Controller::renew(const schema::RenewRequest& request, schema::RenewResponse& response)
{
    if (rejectUnlessLeading(*response.mutable_outcome()))
        co_return;
    const auto* record = m_state.server(request.server_id());
    if (!record || record->removed() || record->server().incarnation() != request.incarnation()) {
        response.mutable_outcome()->set_code(schema::Outcome::CODE_NOT_FOUND);
        response.mutable_outcome()->set_message("the registration no longer exists; register again");
        co_return;
    }
    m_leases.recordRenewal(request);
    response.set_version(m_state.version());
    response.set_lease_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.serverLease).count()));
    if (!record->silent()) {
        response.mutable_outcome()->set_code(schema::Outcome::CODE_OK);
        co_return;
    }
    auto command = this->makeCommand();
    command.mutable_transition()->set_server_id(request.server_id());
    command.mutable_transition()->set_incarnation(request.incarnation());
    command.mutable_transition()->set_kind(schema::ServerTransition::KIND_RETURNED);
    command.mutable_transition()->set_reason("it renews again");
    setOutcome(*response.mutable_outcome(), co_await m_log.submit(std::move(command)));
}

awaitable<void> Controller::leave(const schema::LeaveRequest& request, schema::LeaveResponse& response)
{
    auto command = this->makeCommand();
    *command.mutable_leave() = request;
    const auto result = co_await m_log.submit(std::move(command));
    setOutcome(*response.mutable_outcome(), result);
    response.set_version(result.version);
}

awaitable<void> Controller::applyFiles(const schema::ApplyRequest& request, schema::ChangeResponse& response)
{
    auto command = this->makeCommand(request.operator_name(), request.request_id());
    command.set_base_revision(request.base_revision());
    command.set_fingerprint(fingerprintOf(request));
    *command.mutable_config()->mutable_files() = request.files();
    try {
        std::vector<operators::ConfigFile> files;
        for (const auto& file : request.files())
            files.push_back({ .name = file.name(), .content = file.content() });
        const auto merged = operators::mergeOperatorFolder(files);
        command.mutable_config()->mutable_services()->Assign(merged.services.begin(), merged.services.end());
        command.mutable_config()->mutable_zones()->Assign(merged.zones.begin(), merged.zones.end());
    } catch (const Error& error) {
        setOutcome(*response.mutable_outcome(), { .code = schema::Outcome::CODE_INVALID, .message = error.what() });
        co_return;
    }
    co_await submitOperatorChange(std::move(command), response);
}

awaitable<void> Controller::setZone(const schema::SetZoneRequest& request, schema::ChangeResponse& response)
{
    if (request.state() != schema::ZONE_STATE_IN && request.state() != schema::ZONE_STATE_OUT) {
        setOutcome(*response.mutable_outcome(), { .code = schema::Outcome::CODE_INVALID, .message = "the request has no zone state; set it to in or out" });
        co_return;
    }
    auto command = this->makeCommand(request.operator_name(), request.request_id());
    command.set_base_revision(request.base_revision());
    command.set_fingerprint(fingerprintOf(request));
    command.mutable_zone()->set_zone(request.zone());
    command.mutable_zone()->set_state(request.state());
    co_await submitOperatorChange(std::move(command), response);
}

awaitable<void> Controller::drainServer(const schema::DrainServerRequest& request, schema::ChangeResponse& response)
{
    auto command = this->makeCommand(request.operator_name(), request.request_id());
    command.set_fingerprint(fingerprintOf(request));
    command.mutable_drain()->set_server(request.server());
    command.mutable_drain()->set_resume(request.resume());
    co_await submitOperatorChange(std::move(command), response);
}

awaitable<void> Controller::submitOperatorChange(schema::Command command, schema::ChangeResponse& response)
{
    if (command.request_id().empty()) {
        setOutcome(*response.mutable_outcome(), { .code = schema::Outcome::CODE_INVALID, .message = "the request has no request id; use a unique id for each change" });
        co_return;
    }
    co_await submit(std::move(command), response);
}

awaitable<void> Controller::submit(schema::Command command, schema::ChangeResponse& response)
{
    const auto result = co_await m_log.submit(std::move(command));
    setOutcome(*response.mutable_outcome(), result);
    response.set_revision(result.revision);
    response.set_version(result.version);
}

// A document whose version is not higher than that of the current document is accepted without a command, on followers
// too, because the fleet state contains committed changes only.
awaitable<void> Controller::putDocument(const schema::DocumentChange& document, schema::ChangeResponse& response)
{
    if (!m_state.document().supersedes(document.version())) {
        setOutcome(*response.mutable_outcome(), {});
        response.set_version(m_state.version());
        co_return;
    }
    auto command = this->makeCommand();
    *command.mutable_document() = document;
    co_await submit(std::move(command), response);
}

awaitable<DocumentRead> Controller::readDocument()
{
    auto barrier = makeCommand();
    barrier.mutable_read_barrier();
    DocumentRead read;
    setOutcome(read.outcome, co_await m_log.submit(std::move(barrier)));
    if (read.outcome.code() != schema::Outcome::CODE_OK)
        co_return read;
    const auto version = m_state.document().version();
    read.version = version.value_or(0);
    read.text = m_state.document().text();
    if (!version) {
        read.outcome.set_code(schema::Outcome::CODE_NOT_FOUND);
        read.outcome.set_message("no configuration has been accepted yet; send one");
    }
    co_return read;
}

awaitable<void> Controller::setZoneOut(const std::string& zone, bool out, schema::ChangeResponse& response)
{
    auto command = this->makeCommand();
    command.mutable_zone()->set_zone(zone);
    command.mutable_zone()->set_state(out ? schema::ZONE_STATE_OUT : schema::ZONE_STATE_IN);
    command.mutable_zone()->set_create(true);
    co_await submit(std::move(command), response);
}

awaitable<void> Controller::readConfig(schema::ReadConfigResponse& response)
{
    if (rejectUnlessLeading(*response.mutable_outcome()))
        co_return;
    response.mutable_outcome()->set_code(schema::Outcome::CODE_OK);
    response.set_revision(m_state.revision());
    response.mutable_files()->Assign(m_state.files().begin(), m_state.files().end());
    *response.mutable_table() = m_state.table();
}

awaitable<void> Controller::status(schema::StatusResponse& response)
{
    response.mutable_outcome()->set_code(schema::Outcome::CODE_OK);
    response.mutable_outcome()->set_leader_hint(m_log.leaderEndpoint());
    m_log.fillStatus(response);
    response.set_revision(m_state.revision());
    response.set_version(m_state.version());
    for (const auto& [writer, session] : m_watchers) {
        auto& daemon = *response.add_daemons();
        daemon.set_daemon(session.request.daemon());
        daemon.set_role(session.request.role());
        daemon.set_zone(session.request.zone());
        daemon.set_version(session.version);
        daemon.set_silent_ms(millisecondsSince(session.lastWrite));
    }
    for (const auto& [name, zone] : m_state.zones())
        *response.add_zones() = zone;
    describeServers(response);
    co_return;
}

void Controller::describeServers(schema::StatusResponse& response) const
{
    for (const auto& [id, record] : m_state.servers().records()) {
        if (record.removed())
            continue;
        auto& status = *response.add_servers();
        *status.mutable_server() = record.server();
        const auto* lease = m_leases.lease(id);
        if (!lease)
            continue;
        status.set_in_progress(lease->request.in_progress());
        status.set_flows(lease->request.flows());
        status.set_healthy(lease->request.healthy());
        status.set_warmup_limit(lease->request.warmup_limit());
        status.set_silent_ms(millisecondsSince(lease->start));
    }
}

awaitable<void> Controller::events(std::shared_ptr<EventWriter> writer, schema::EventsRequest request)
{
    m_eventWriters.insert(writer);
    auto after = request.after();
    while (!writer->ended() && !m_stopping) {
        std::vector<schema::Event> pending;
        for (const auto& event : m_state.events()) {
            if (event.number() > after)
                pending.push_back(event);
        }
        for (auto& event : pending) {
            after = event.number();
            if (!co_await writer->write(std::make_shared<schema::Event>(std::move(event))))
                break;
        }
        if (!request.follow())
            break;
        if (pending.empty())
            co_await writer->sleep(eventPollInterval);
    }
    m_eventWriters.erase(writer);
    writer->finish(grpc::Status::OK);
}

awaitable<void> Controller::superviseServers()
{
    while (!m_stopping) {
        co_await m_supervisionWakeup.wait(m_wasLeading ? Duration(supervisionInterval) : Duration(followerSupervisionInterval));
        const bool leading = m_log.hasValidLease();
        if (leading && !m_wasLeading) {
            m_leases.reset();
            m_damping.reset();
        }
        m_wasLeading = leading;
        if (!leading)
            continue;
        auto transitions = m_leases.dueTransitions(m_state.servers());
        for (auto& transition : m_damping.dueTransitions(m_state.servers()))
            transitions.push_back(std::move(transition));
        if (m_leases.transitionsSuppressed())
            log(LogLevel::Warn, "server_expiry_held_back", { { .key = "reason", .value = "more than half of the servers are silent" } });
        for (const auto& transition : transitions) {
            auto command = this->makeCommand();
            *command.mutable_transition() = transition;
            co_await m_log.submit(std::move(command));
        }
    }
}

void Controller::notify()
{
    if (m_log.hasValidLease() != m_wasLeading || m_stopping)
        m_supervisionWakeup.wake();
    for (const auto& [writer, session] : m_watchers)
        writer->wake();
    for (const auto& writer : m_eventWriters)
        writer->wake();
}

void Controller::stop()
{
    m_stopping = true;
    notify();
}

schema::Command Controller::makeCommand(const std::string& operatorName, const std::string& requestId) const
{
    schema::Command command;
    command.set_time_ms(wallClockMs());
    command.set_operator_name(operatorName);
    command.set_request_id(requestId);
    return command;
}

void Controller::setOutcome(schema::Outcome& outcome, const CommandResult& result) const
{
    outcome.set_code(result.code);
    outcome.set_message(result.message);
    outcome.set_leader_hint(m_log.leaderEndpoint());
}

bool Controller::rejectUnlessLeading(schema::Outcome& outcome) const
{
    if (m_log.hasValidLease())
        return false;
    setOutcome(outcome, { .code = schema::Outcome::CODE_NOT_LEADER, .message = "this controller is not the leader; send the request to leader_hint or to another controller" });
    return true;
}

std::uint32_t Controller::millisecondsSince(MonotonicTime time) const
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - time).count());
}

} // namespace clementinesill::control
