#pragma once

#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "foundation/types/endpoint.h"

namespace clementinesill::agent {

// A datagram in flight between a balancer or an agent and the target agent.
struct SentMessage {
    Endpoint target;
    dataplane::GeneveMessage message;
    dataplane::PacketView packet;
};

} // namespace clementinesill::agent
