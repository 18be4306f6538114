#pragma once

#include "agent/internal/serverreport.h"
#include "control.pb.h"
#include "fleet/ifleetclient.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace clementinesill::agent {

// Registers the server and renews its lease on a separate thread, so that a slow controller does not delay packets.
// setReport and isReplaced may be called from any thread.
class ServerRegistration {
public:
    // The client must outlive the registration.
    ServerRegistration(fleet::IFleetClient& client, const schema::ServerAnnouncement& announcement);
    ~ServerRegistration();

    // Throws Error like IFleetClient::registerServer.
    fleet::Registration registerServer();

    // Starts to renew the lease until stop is called.
    void start();

    // Sets the report that is sent with the next renewals.
    void setReport(const ServerReport& report);

    // Marks the server as draining at the controllers, or removes it. A failure is logged; the lease then expires.
    void leave(bool draining);

    void stop();

    // Whether another process has registered under the server's name.
    bool isReplaced() const { return m_replaced; }

private:
    void renewLeaseUntilStopped();
    void renew();
    void registerAgain();

    fleet::IFleetClient& m_client;
    schema::ServerAnnouncement m_announcement;
    fleet::Registration m_registration;
    std::atomic<bool> m_replaced { false };
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    // Guarded by m_mutex.
    ServerReport m_report;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace clementinesill::agent
