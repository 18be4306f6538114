#pragma once

#include "control.grpc.pb.h"
#include "fleet/controllerselector.h"
#include "fleet/fleetclient.h"
#include "fleet/ifleetclient.h"
#include "fleet/tableholder.h"
#include "foundation/seededrandom.h"
#include "foundation/systemclock.h"
#include "net/credentials.h"
#include "settings.pb.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace grpc {
class Channel;
}

namespace clementinesill::fleet {

// Client of the controllers over gRPC. A background thread watches the fleet table; calls run on their callers' threads.
class GrpcFleetClient final : public IFleetClient {
public:
    explicit GrpcFleetClient(const schema::DaemonSettings& settings, const ControllerSource& source = {});
    ~GrpcFleetClient() override;

    void start() override;
    void stop() override;
    ITableSource& tables() override { return m_holder; }
    Registration registerServer(const schema::ServerAnnouncement& announcement, Duration timeout) override;
    bool renew(const schema::RenewRequest& request) override;
    void leave(const Registration& registration, bool draining) override;
    void leaveStaleController(std::uint64_t newerVersion) override;
    void interruptCalls() override;

private:
    using Stub = schema::Fleet::Stub;

    struct Connection {
        std::shared_ptr<grpc::Channel> channel;
        std::shared_ptr<Stub> stub;
    };

    // Why a watch ended.
    struct WatchEnd {
        // At least one update was received.
        bool received = false;
        // The controller does not serve watches and named the leader.
        bool redirected = false;
        // leaveStaleController() ended the stream.
        bool isStale = false;
        std::string leaderHint;
        std::string reason;
    };

    void watchLoop();
    WatchEnd watchOnce(const std::string& endpoint);
    Duration watchTimeout() const;
    WatchEnd readWatch(const std::string& endpoint, Stub& stub, const schema::WatchRequest& request, grpc::ClientContext& context);
    bool applyUpdate(const schema::TableUpdate& update);
    void logTableLag(const std::string& endpoint);
    void publishTable();
    void pause(Duration duration);
    void selectConnectedController(ControllerSelector& selector);
    void onFirstTable(const std::string& endpoint);
    void waitForFirstTable(MonotonicTime deadline);
    // Whether stop() was called, or interruptCalls() since m_interruptions had the given value.
    bool interruptedSince(int interruptions) const { return m_stopping || m_interruptions != interruptions; }
    void learnControllers(const schema::TableUpdate& update);
    void updateControllers(ControllerSelector& selector, const std::string& leaderHint);
    void dropConnection(const std::string& endpoint);
    std::vector<std::string> controllers() const;
    const Connection& connection(const std::string& endpoint);

    // Calls controllers until one returns a final outcome. Throws Error (Unavailable) after the timeout.
    template <typename Request, typename Response>
    Response call(grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Response*), const Request& request, Duration timeout);

    schema::DaemonSettings m_settings;
    ControllerSource m_source;
    SystemClock m_clock;
    net::Credentials m_credentials;
    TableHolder m_holder;
    // Newest table that was received; deltas apply to it. Used by the watch thread only.
    schema::Table m_table;
    // Whether a newer version than that of the table is known; used by the watch thread only.
    bool m_reportedTableBehind = false;
    // Number of consecutive watches that received no update; used by the watch thread only.
    int m_failedWatches = 0;
    std::atomic<bool> m_stopping { false };
    // Number of calls to interruptCalls().
    std::atomic<int> m_interruptions { 0 };
    std::thread m_watchThread;
    std::mutex m_mutex;
    // Notified on stop(), on interruptCalls() and on the first table.
    std::condition_variable m_wakeUp;
    // Guarded by m_mutex, as are all members below.
    SeededRandom m_random;
    // gRPC endpoints of controllers that were listed in table updates, in addition to those of the source.
    std::vector<std::string> m_learnedControllers;
    ControllerSelector m_callSelector;
    std::map<std::string, Connection> m_connections;
    // Context of the open watch stream; null if there is none.
    grpc::ClientContext* m_watchContext = nullptr;
    // Whether leaveStaleController() has cancelled the open stream.
    bool m_leavesStaleController = false;
};

} // namespace clementinesill::fleet
