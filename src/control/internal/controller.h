#pragma once

#include "control.pb.h"
#include "control/flapdamping.h"
#include "control/fleetstate.h"
#include "control/icommandlog.h"
#include "control/internal/controlleroptions.h"
#include "control/internal/streamwriter.h"
#include "control/internal/wakeup.h"
#include "control/iversionedconfig.h"
#include "control/leasetracker.h"
#include "control/tablefeed.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <set>
#include <string>

namespace clementinesill::control {

// Handles the requests of daemons and operators. Each call runs in a coroutine of its own; all coroutines and all functions
// of this class run on the control thread.
class Controller final : public IVersionedConfig {
public:
    using TableWriter = StreamWriter<schema::TableUpdate>;
    using EventWriter = StreamWriter<schema::Event>;

    Controller(boost::asio::io_context& context, const ControllerOptions& options, FleetState& state, ICommandLog& log, const IClock& clock);

    boost::asio::awaitable<void> watch(std::shared_ptr<TableWriter> writer, schema::WatchRequest request);
    boost::asio::awaitable<void> registerServer(const schema::ServerAnnouncement& announcement, schema::RegisterResponse& response);
    boost::asio::awaitable<void> renew(const schema::RenewRequest& request, schema::RenewResponse& response);
    boost::asio::awaitable<void> leave(const schema::LeaveRequest& request, schema::LeaveResponse& response);

    boost::asio::awaitable<void> applyFiles(const schema::ApplyRequest& request, schema::ChangeResponse& response);
    boost::asio::awaitable<void> setZone(const schema::SetZoneRequest& request, schema::ChangeResponse& response);
    boost::asio::awaitable<void> drainServer(const schema::DrainServerRequest& request, schema::ChangeResponse& response);
    boost::asio::awaitable<void> putDocument(const schema::DocumentChange& document, schema::ChangeResponse& response) override;
    boost::asio::awaitable<DocumentRead> readDocument() override;
    boost::asio::awaitable<void> setZoneOut(const std::string& zone, bool out, schema::ChangeResponse& response) override;
    boost::asio::awaitable<void> readConfig(schema::ReadConfigResponse& response);
    boost::asio::awaitable<void> status(schema::StatusResponse& response);
    boost::asio::awaitable<void> events(std::shared_ptr<EventWriter> writer, schema::EventsRequest request);

    // While this controller leads, submits the transitions that leases and flap damping require. Returns after stop().
    boost::asio::awaitable<void> superviseServers();

    // Wakes all streams and the supervision. Called after each change of the fleet state or of leadership.
    void notify();

    // Ends all streams and the supervision.
    void stop();

private:
    struct WatchSession {
        schema::WatchRequest request;
        // Table version that the daemon has.
        std::uint64_t version = 0;
        MonotonicTime lastWrite;
    };

    schema::Command makeCommand(const std::string& operatorName = {}, const std::string& requestId = {}) const;
    boost::asio::awaitable<void> submitOperatorChange(schema::Command command, schema::ChangeResponse& response);
    boost::asio::awaitable<void> submit(schema::Command command, schema::ChangeResponse& response);
    void setOutcome(schema::Outcome& outcome, const CommandResult& result) const;
    bool rejectUnlessLeading(schema::Outcome& outcome) const;
    void describeServers(schema::StatusResponse& response) const;
    std::uint32_t millisecondsSince(MonotonicTime time) const;

    boost::asio::io_context& m_context;
    ControllerOptions m_options;
    FleetState& m_state;
    ICommandLog& m_log;
    const IClock& m_clock;
    LeaseTracker m_leases;
    FlapDamping m_damping;
    TableFeed m_feed;
    bool m_stopping = false;
    bool m_wasLeading = false;
    Wakeup m_supervisionWakeup;
    std::map<std::shared_ptr<TableWriter>, WatchSession> m_watchers;
    std::set<std::shared_ptr<EventWriter>> m_eventWriters;
};

} // namespace clementinesill::control
