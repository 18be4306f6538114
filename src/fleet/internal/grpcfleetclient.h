#pragma once

#include "control.grpc.pb.h"
#include "fleet/controllerchoice.h"
#include "fleet/ifleetclient.h"
#include "fleet/tableholder.h"
#include "foundation/seededrandom.h"
#include "net/credentials.h"
#include "settings.pb.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace clementinesill::fleet {

// Fleet client over gRPC. One thread watches the table; calls run on their callers' threads.
class GrpcFleetClient final : public IFleetClient {
public:
    explicit GrpcFleetClient(const schema::DaemonSettings& settings);
    ~GrpcFleetClient() override;

    void start() override;
    void stop() override;
    ITableSource& tables() override { return m_holder; }
    Registration registerServer(const schema::ServerAnnouncement& announcement) override;
    bool renew(const schema::RenewRequest& request) override;
    void leave(const Registration& registration, bool draining) override;

private:
    using Stub = schema::Fleet::Stub;
    using Clock = std::chrono::steady_clock;

    // Why a watch ended, and where to go on.
    struct WatchEnd {
        bool received = false;
        bool refused = false;
        std::string hint;
        std::string reason;
    };

    void watchLoop();
    WatchEnd watchOnce(const std::string& endpoint);
    bool takeUpdate(const schema::TableUpdate& update);
    void offerTable();
    void pause(Duration duration);
    std::shared_ptr<Stub> stub(const std::string& endpoint);

    // Calls controllers until one gives a final outcome or the time is over; then throws Error (Unavailable).
    template <typename Request, typename Response>
    Response call(grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Response*), const Request& request, Duration timeout);

    schema::DaemonSettings m_settings;
    net::Credentials m_credentials;
    TableHolder m_holder;
    // Held by the watch thread only.
    schema::Table m_table;
    std::atomic<bool> m_stopping { false };
    std::thread m_watchThread;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    // Guarded by m_mutex.
    SeededRandom m_random;
    ControllerChoice m_callChoice;
    std::map<std::string, std::shared_ptr<Stub>> m_stubs;
};

} // namespace clementinesill::fleet
