#pragma once

#include "control.pb.h"
#include "fleet/ifleetclient.h"
#include "passthrough/types/serverheartbeat.h"
#include "passthrough/types/serverinstancestate.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace clementinesill::passthrough {

// Keeps the controllers' record of the server on this agent's VM in line with its latest heartbeats: registers each instance,
// renews its lease, and reports when it drains or is gone. Runs on its own thread, so that a slow controller delays no
// packets.
class ServerRegistrar {
public:
    // Called from the registrar's thread.
    using Registered = std::function<void(const fleet::Registration&)>;
    using Renewed = std::function<void()>;

    // The client must outlive the registrar. endpoint receives the packets of other daemons. renewed is called after each
    // renewal, which confirms the table.
    ServerRegistrar(fleet::IFleetClient& client, std::string endpoint, Registered registered, Renewed renewed);
    ~ServerRegistrar();

    // Set the state that is reported to the controllers. A call for an instance that is not the current one any more is abandoned, so
    // that it does not delay the registration of the current one.
    void setServer(const ServerHeartbeat& heartbeat, const ServerInstanceState& state);
    void setServerGone();

    // Renews the lease without waiting for the next interval, so that the leader confirms the table.
    void requestRenewal();

    void stop();

private:
    struct DesiredState {
        std::optional<ServerHeartbeat> heartbeat;
        bool verified = false;
        bool gone = false;
    };

    void run();
    void reconcileUntilStopped();
    void reconcile(const DesiredState& desired);
    void registerServer(const DesiredState& desired);
    fleet::Registration announce(const DesiredState& desired);
    schema::ServerAnnouncement announcement(const ServerHeartbeat& heartbeat) const;
    std::uint64_t bootId(const ServerHeartbeat& heartbeat) const;
    bool mayHaveAnnounced(const ServerHeartbeat& heartbeat) const;

    fleet::IFleetClient& m_client;
    std::string m_endpoint;
    Registered m_registered;
    Renewed m_renewed;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    // Guarded by m_mutex.
    DesiredState m_desired;
    bool m_changed = false;
    bool m_restarted = false;
    bool m_drainEnded = false;
    bool m_renewalRequested = false;
    bool m_stopping = false;
    bool m_threadDone = false;
    // Used only on the registrar's thread.
    fleet::Registration m_registration;
    // Of the registered instance; 0 if none is registered.
    std::uint64_t m_bootId = 0;
    // Number of earlier boot ids of the same instance, which the controllers do not accept any more.
    std::uint64_t m_usedBootIds = 0;
    bool m_drainingReported = false;
    // The last attempt to register found no controller that accepted it in time.
    bool m_registrationFailed = false;
    // Last heartbeat of the instance that was announced last.
    std::optional<ServerHeartbeat> m_announced;
    std::thread m_thread;
};

} // namespace clementinesill::passthrough
