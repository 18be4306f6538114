#pragma once

#include "control/serverregistry.h"

// Registry with announced servers of one service, for tests.
class AnnouncedServers {
public:
    explicit AnnouncedServers(int count)
    {
        for (int index = 1; index <= count; ++index)
            announce(index, 1);
    }

    void announce(int index, std::uint64_t bootId)
    {
        clementinesill::schema::ServerAnnouncement announcement;
        announcement.set_name("desk-" + std::to_string(index));
        announcement.set_agent_endpoint("127.0.0.1:" + std::to_string(21200 + index));
        announcement.set_boot_id(bootId);
        registry.announce(announcement, 1);
    }

    clementinesill::schema::RenewRequest renewalRequest(std::uint32_t id) const
    {
        clementinesill::schema::RenewRequest request;
        request.set_server_id(id);
        request.set_incarnation(registry.find(id)->server().incarnation());
        return request;
    }

    clementinesill::control::ServerRegistry registry;
};
