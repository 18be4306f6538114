#pragma once

#include "control.grpc.pb.h"
#include "fleet/controllerchoice.h"
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

// Fleet client over gRPC. One thread watches the table; calls run on their callers' threads.
class GrpcFleetClient final : public IFleetClient {
public:
    explicit GrpcFleetClient(const schema::DaemonSettings& settings, const ControllerSource& source = {});
    ~GrpcFleetClient() override;

    void start() override;
    void stop() override;
    ITableSource& tables() override { return m_holder; }
    Registration registerServer(const schema::ServerAnnouncement& announcement) override;
    bool renew(const schema::RenewRequest& request) override;
    void leave(const Registration& registration, bool draining) override;
    void interruptCalls() override;

private:
    using Stub = schema::Fleet::Stub;

    struct Connection {
        std::shared_ptr<grpc::Channel> channel;
        std::shared_ptr<Stub> stub;
    };

    // Why a watch ended, and where to go on.
    struct WatchEnd {
        bool received = false;
        bool refused = false;
        std::string hint;
        std::string reason;
    };

    void watchLoop();
    WatchEnd watchOnce(const std::string& endpoint);
    WatchEnd readWatch(const std::string& endpoint, Stub& target, const schema::WatchRequest& request, grpc::ClientContext& context);
    bool takeUpdate(const schema::TableUpdate& update);
    void offerTable();
    void pause(Duration duration);
    void preferReached(ControllerChoice& choice);
    void noteFirstTable(const std::string& endpoint);
    void awaitFirstTable(MonotonicTime deadline);
    bool interrupted(int seen) const { return m_stopping || m_interruptions != seen; }
    void learnControllers(const schema::TableUpdate& update);
    void learnHint(ControllerChoice& choice, const std::string& hint);
    void dropConnection(const std::string& endpoint);
    std::vector<std::string> controllers() const;
    const Connection& connection(const std::string& endpoint);

    // Calls controllers until one gives a final outcome or the time is over; then throws Error (Unavailable).
    template <typename Request, typename Response>
    Response call(grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Response*), const Request& request, Duration timeout);

    schema::DaemonSettings m_settings;
    ControllerSource m_source;
    SystemClock m_clock;
    net::Credentials m_credentials;
    TableHolder m_holder;
    // Held by the watch thread only.
    schema::Table m_table;
    std::atomic<bool> m_stopping { false };
    // Grows with each interruptCalls().
    std::atomic<int> m_interruptions { 0 };
    std::thread m_watchThread;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    // Guarded by m_mutex.
    SeededRandom m_random;
    // gRPC endpoints that controllers have named, beside those of the source.
    std::vector<std::string> m_learned;
    ControllerChoice m_callChoice;
    std::map<std::string, Connection> m_connections;
    // The stream that is read now, if any.
    grpc::ClientContext* m_watched = nullptr;
};

} // namespace clementinesill::fleet
