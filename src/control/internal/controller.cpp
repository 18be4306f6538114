#include "control/internal/controller.h"

#include "foundation/error.h"
#include "foundation/hash.h"
#include "foundation/log.h"
#include "operators/foldermerge.h"

namespace clementinesill::control {

namespace {

using boost::asio::awaitable;

// A stream without changes carries the version in force this often.
constexpr auto watchHeartbeat = std::chrono::seconds(1);
// How long a daemon relies on a silent stream.
constexpr std::uint32_t watchLeaseMs = 3000;
// How often a leader looks at leases.
constexpr auto supervisionInterval = std::chrono::milliseconds(500);
// A follower has no leases to look at; it is woken when it leads.
constexpr auto followerInterval = std::chrono::hours(1);
// How long a controller that is behind a daemon waits before it looks again.
constexpr auto behindInterval = std::chrono::milliseconds(200);

std::uint64_t digest(const google::protobuf::Message& message)
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
    , m_supervision(context)
{
}

awaitable<void> Controller::watch(std::shared_ptr<Watcher> writer, schema::WatchRequest request)
{
    auto& session = m_watchers[writer];
    session = { .request = request, .version = request.version(), .written = m_clock.now() };
    FeedDecision decision;
    while (!writer->ended() && !m_stopping) {
        decision = m_feed.next(session.version);
        if (decision.action == FeedDecision::Action::Refuse)
            break;
        if (decision.action == FeedDecision::Action::Send) {
            auto update = std::make_shared<schema::TableUpdate>(*decision.update);
            update->set_lease_ms(watchLeaseMs);
            for (const auto& endpoint : m_log.memberEndpoints())
                update->add_controllers(endpoint);
            if (!co_await writer->write(std::move(update)))
                break;
            session.version = decision.version;
            session.written = m_clock.now();
        }
        if (session.version == m_state.version())
            co_await writer->sleep(watchHeartbeat);
        else if (decision.action == FeedDecision::Action::Wait)
            co_await writer->sleep(behindInterval);
    }
    m_watchers.erase(writer);
    if (decision.action != FeedDecision::Action::Refuse)
        decision.reason = "this controller is stopping; ask another one";
    // The endpoint to ask next travels as the status's binary details.
    writer->finish({ grpc::StatusCode::UNAVAILABLE, decision.reason, m_log.leaderEndpoint() });
}

awaitable<void> Controller::registerServer(const schema::ServerAnnouncement& announcement, schema::RegisterResponse& response)
{
    auto command = this->command();
    *command.mutable_announcement() = announcement;
    const auto result = co_await m_log.submit(std::move(command));
    fill(*response.mutable_outcome(), result);
    response.set_server_id(result.serverId);
    response.set_incarnation(result.incarnation);
    response.set_version(result.version);
    response.set_lease_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.serverLease).count()));
}

awaitable<void> Controller::renew(const schema::RenewRequest& request, schema::RenewResponse& response)
{
    if (refuseUnlessLeading(*response.mutable_outcome()))
        co_return;
    const auto* record = m_state.server(request.server_id());
    if (!record || record->removed() || record->server().incarnation() != request.incarnation()) {
        response.mutable_outcome()->set_code(schema::Outcome::CODE_NOT_FOUND);
        response.mutable_outcome()->set_message("the registration is gone; register again");
        co_return;
    }
    m_leases.renewed(request);
    response.set_version(m_state.version());
    response.set_lease_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.serverLease).count()));
    if (!record->silent()) {
        response.mutable_outcome()->set_code(schema::Outcome::CODE_OK);
        co_return;
    }
    auto command = this->command();
    command.mutable_transition()->set_server_id(request.server_id());
    command.mutable_transition()->set_incarnation(request.incarnation());
    command.mutable_transition()->set_kind(schema::ServerTransition::KIND_RETURNED);
    command.mutable_transition()->set_reason("it renews again");
    fill(*response.mutable_outcome(), co_await m_log.submit(std::move(command)));
}

awaitable<void> Controller::leave(const schema::LeaveRequest& request, schema::LeaveResponse& response)
{
    auto command = this->command();
    *command.mutable_leave() = request;
    const auto result = co_await m_log.submit(std::move(command));
    fill(*response.mutable_outcome(), result);
    response.set_version(result.version);
}

awaitable<void> Controller::applyFiles(const schema::ApplyRequest& request, schema::ChangeResponse& response)
{
    auto command = this->command(request.operator_name(), request.request_id());
    command.set_base_revision(request.base_revision());
    command.set_fingerprint(digest(request));
    *command.mutable_config()->mutable_files() = request.files();
    try {
        std::vector<operators::ConfigFile> files;
        for (const auto& file : request.files())
            files.push_back({ .name = file.name(), .content = file.content() });
        const auto merged = operators::mergeOperatorFolder(files);
        command.mutable_config()->mutable_services()->Assign(merged.services.begin(), merged.services.end());
        command.mutable_config()->mutable_zones()->Assign(merged.zones.begin(), merged.zones.end());
    } catch (const Error& error) {
        fill(*response.mutable_outcome(), { .code = schema::Outcome::CODE_INVALID, .message = error.what() });
        co_return;
    }
    co_await change(std::move(command), response);
}

awaitable<void> Controller::setZone(const schema::SetZoneRequest& request, schema::ChangeResponse& response)
{
    if (request.state() != schema::ZONE_STATE_IN && request.state() != schema::ZONE_STATE_OUT) {
        fill(*response.mutable_outcome(), { .code = schema::Outcome::CODE_INVALID, .message = "the request names no state; ask for in or out" });
        co_return;
    }
    auto command = this->command(request.operator_name(), request.request_id());
    command.set_base_revision(request.base_revision());
    command.set_fingerprint(digest(request));
    command.mutable_zone()->set_zone(request.zone());
    command.mutable_zone()->set_state(request.state());
    co_await change(std::move(command), response);
}

awaitable<void> Controller::drainServer(const schema::DrainServerRequest& request, schema::ChangeResponse& response)
{
    auto command = this->command(request.operator_name(), request.request_id());
    command.set_fingerprint(digest(request));
    command.mutable_drain()->set_server(request.server());
    command.mutable_drain()->set_resume(request.resume());
    co_await change(std::move(command), response);
}

awaitable<void> Controller::change(schema::Command command, schema::ChangeResponse& response)
{
    if (command.request_id().empty()) {
        fill(*response.mutable_outcome(), { .code = schema::Outcome::CODE_INVALID, .message = "the request has no request id; give each change one of its own" });
        co_return;
    }
    co_await submit(std::move(command), response);
}

awaitable<void> Controller::submit(schema::Command command, schema::ChangeResponse& response)
{
    const auto result = co_await m_log.submit(std::move(command));
    fill(*response.mutable_outcome(), result);
    response.set_revision(result.revision);
    response.set_version(result.version);
}

// The state holds accepted commands only, so a document that it supersedes is known to be overtaken, whoever leads.
awaitable<void> Controller::putDocument(const schema::DocumentChange& document, schema::ChangeResponse& response)
{
    if (!m_state.document().supersedes(document.version())) {
        fill(*response.mutable_outcome(), {});
        response.set_version(m_state.version());
        co_return;
    }
    auto command = this->command();
    *command.mutable_document() = document;
    co_await submit(std::move(command), response);
}

awaitable<DocumentRead> Controller::readDocument()
{
    auto barrier = command();
    barrier.mutable_read_barrier();
    DocumentRead read;
    fill(read.outcome, co_await m_log.submit(std::move(barrier)));
    if (read.outcome.code() != schema::Outcome::CODE_OK)
        co_return read;
    read.version = m_state.document().version();
    read.text = m_state.document().text();
    if (!read.version) {
        read.outcome.set_code(schema::Outcome::CODE_NOT_FOUND);
        read.outcome.set_message("no configuration was accepted yet; send one");
    }
    co_return read;
}

awaitable<void> Controller::orderZone(const std::string& zone, bool out, schema::ChangeResponse& response)
{
    auto command = this->command();
    command.mutable_zone()->set_zone(zone);
    command.mutable_zone()->set_state(out ? schema::ZONE_STATE_OUT : schema::ZONE_STATE_IN);
    command.mutable_zone()->set_create(true);
    co_await submit(std::move(command), response);
}

awaitable<void> Controller::readConfig(schema::ReadConfigResponse& response)
{
    if (refuseUnlessLeading(*response.mutable_outcome()))
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
        daemon.set_silent_ms(silentMs(session.written));
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
        const auto* report = m_leases.report(id);
        if (!report)
            continue;
        status.set_in_progress(report->request.in_progress());
        status.set_flows(report->request.flows());
        status.set_healthy(report->request.healthy());
        status.set_warmup_limit(report->request.warmup_limit());
        status.set_silent_ms(silentMs(report->heard));
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
            co_await writer->sleep(watchHeartbeat);
    }
    m_eventWriters.erase(writer);
    writer->finish(grpc::Status::OK);
}

awaitable<void> Controller::superviseServers()
{
    while (!m_stopping) {
        co_await m_supervision.wait(m_wasLeading ? Duration(supervisionInterval) : Duration(followerInterval));
        const bool leading = m_log.isLeader();
        if (leading && !m_wasLeading) {
            m_leases.restart();
            m_damping.restart();
        }
        m_wasLeading = leading;
        if (!leading)
            continue;
        auto due = m_leases.due(m_state.servers());
        for (auto& transition : m_damping.due(m_state.servers()))
            due.push_back(std::move(transition));
        if (m_leases.heldBack())
            log(LogLevel::Warn, "server_expiry_held_back", { { .key = "reason", .value = "more than half of the servers are silent" } });
        for (const auto& transition : due) {
            auto command = this->command();
            *command.mutable_transition() = transition;
            co_await m_log.submit(std::move(command));
        }
    }
}

void Controller::notify()
{
    if (m_log.isLeader() != m_wasLeading || m_stopping)
        m_supervision.wake();
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

schema::Command Controller::command(const std::string& operatorName, const std::string& requestId) const
{
    schema::Command command;
    command.set_time_ms(wallClockMs());
    command.set_operator_name(operatorName);
    command.set_request_id(requestId);
    return command;
}

void Controller::fill(schema::Outcome& outcome, const CommandResult& result) const
{
    outcome.set_code(result.code);
    outcome.set_message(result.message);
    outcome.set_leader_hint(m_log.leaderEndpoint());
}

bool Controller::refuseUnlessLeading(schema::Outcome& outcome) const
{
    if (m_log.isLeader())
        return false;
    fill(outcome, { .code = schema::Outcome::CODE_NOT_LEADER, .message = "this controller does not lead; ask the one in leader_hint, or another" });
    return true;
}

std::uint32_t Controller::silentMs(MonotonicTime since) const
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - since).count());
}

} // namespace clementinesill::control
