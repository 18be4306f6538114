#pragma once

#include "agent/internal/serverreport.h"
#include "control.pb.h"
#include "fleet/ifleetclient.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace clementinesill::agent {

// Registers the server and renews its lease on a thread of its own, so that a slow controller delays no packet.
// report may be called from any thread.
class ServerRegistration {
public:
    // The client must outlive the registration.
    ServerRegistration(fleet::IFleetClient& client, const schema::ServerAnnouncement& announcement);
    ~ServerRegistration();

    // Throws Error as IFleetClient::registerServer.
    fleet::Registration announce();

    // Renews until stopped.
    void start();

    void report(const ServerReport& report);

    // Tells the controllers; a failure is logged, and the lease's end tells them then.
    void leave(bool draining);

    void stop();

    // Whether another process has taken over the server's name.
    bool replaced() const { return m_replaced; }

private:
    void renewUntilStopped();
    void renew();
    void announceAgain();

    fleet::IFleetClient& m_client;
    schema::ServerAnnouncement m_announcement;
    fleet::Registration m_registration;
    std::atomic<bool> m_replaced { false };
    std::mutex m_mutex;
    std::condition_variable m_wake;
    // Guarded by m_mutex.
    ServerReport m_report;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace clementinesill::agent
