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

// What the controllers answer to daemons and operators. One coroutine runs for each call; all of them, and everything
// here, stay on the control thread.
class Controller final : public IVersionedConfig {
public:
    using Watcher = StreamWriter<schema::TableUpdate>;
    using EventWriter = StreamWriter<schema::Event>;

    Controller(boost::asio::io_context& context, const ControllerOptions& options, FleetState& state, ICommandLog& log, const IClock& clock);

    boost::asio::awaitable<void> watch(std::shared_ptr<Watcher> writer, schema::WatchRequest request);
    boost::asio::awaitable<void> registerServer(const schema::ServerAnnouncement& announcement, schema::RegisterResponse& response);
    boost::asio::awaitable<void> renew(const schema::RenewRequest& request, schema::RenewResponse& response);
    boost::asio::awaitable<void> leave(const schema::LeaveRequest& request, schema::LeaveResponse& response);

    boost::asio::awaitable<void> applyFiles(const schema::ApplyRequest& request, schema::ChangeResponse& response);
    boost::asio::awaitable<void> setZone(const schema::SetZoneRequest& request, schema::ChangeResponse& response);
    boost::asio::awaitable<void> drainServer(const schema::DrainServerRequest& request, schema::ChangeResponse& response);
    boost::asio::awaitable<void> putDocument(const schema::DocumentChange& document, schema::ChangeResponse& response) override;
    boost::asio::awaitable<DocumentRead> readDocument() override;
    boost::asio::awaitable<void> orderZone(const std::string& zone, bool out, schema::ChangeResponse& response) override;
    boost::asio::awaitable<void> readConfig(schema::ReadConfigResponse& response);
    boost::asio::awaitable<void> status(schema::StatusResponse& response);
    boost::asio::awaitable<void> events(std::shared_ptr<EventWriter> writer, schema::EventsRequest request);

    // Looks after leases until stop().
    boost::asio::awaitable<void> superviseServers();

    // Called after each change of the state or of leadership: wakes every stream.
    void notify();

    // Ends all streams.
    void stop();

private:
    struct Session {
        schema::WatchRequest request;
        std::uint64_t version = 0;
        MonotonicTime written;
    };

    schema::Command command(const std::string& operatorName = {}, const std::string& requestId = {}) const;
    boost::asio::awaitable<void> change(schema::Command command, schema::ChangeResponse& response);
    boost::asio::awaitable<void> submit(schema::Command command, schema::ChangeResponse& response);
    void fill(schema::Outcome& outcome, const CommandResult& result) const;
    bool refuseUnlessLeading(schema::Outcome& outcome) const;
    void describeServers(schema::StatusResponse& response) const;
    std::uint32_t silentMs(MonotonicTime since) const;

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
    Wakeup m_supervision;
    std::map<std::shared_ptr<Watcher>, Session> m_watchers;
    std::set<std::shared_ptr<EventWriter>> m_eventWriters;
};

} // namespace clementinesill::control
