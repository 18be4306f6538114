#pragma once

#include "control.pb.h"
#include "fleet/ifleetclient.h"
#include "passthrough/types/serverbeat.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace clementinesill::passthrough {

// Keeps the controllers' view of the server beside this agent in step with what its heartbeats said last: registers each
// start, renews its lease, and tells that it drains or is gone. On a thread of its own, so that a slow controller delays
// no packet.
class ServerLink {
public:
    // Called from the link's thread.
    using Registered = std::function<void(const fleet::Registration&)>;
    using Renewed = std::function<void()>;

    // The client must outlive the link. endpoint is where the other daemons' packets arrive. renewed is called after each
    // renewal, which confirms the table.
    ServerLink(fleet::IFleetClient& client, std::string endpoint, Registered registered, Renewed renewed);
    ~ServerLink();

    // What the controllers are to know from now on.
    void setServer(const ServerBeat& beat);
    void setGone();

    // Renews soon, for the leader's word on the table.
    void renewSoon();

    void stop();

private:
    struct Wanted {
        std::optional<ServerBeat> beat;
        bool gone = false;
    };

    void run();
    void follow();
    void reconcile(const Wanted& wanted);
    void registerStart(const ServerBeat& beat);
    schema::ServerAnnouncement announcement(const ServerBeat& beat) const;

    fleet::IFleetClient& m_client;
    std::string m_endpoint;
    Registered m_registered;
    Renewed m_renewed;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    // Guarded by m_mutex.
    Wanted m_wanted;
    bool m_changed = false;
    bool m_renewSoon = false;
    bool m_stopping = false;
    bool m_ended = false;
    // Of the link's thread.
    fleet::Registration m_registration;
    std::uint64_t m_bootId = 0;
    bool m_toldDraining = false;
    std::thread m_thread;
};

} // namespace clementinesill::passthrough
