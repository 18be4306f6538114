#pragma once

#include "dataplane/types/genevemessage.h"
#include "dataplane/types/route.h"

#include <boost/container/static_vector.hpp>
#include <cstdint>

namespace clementinesill::passthrough {

// How far the search for a packet's server has come; travels with the packet from the balancer on.
struct Search {
    dataplane::Route route;
    // Servers that were asked.
    boost::container::static_vector<std::uint32_t, dataplane::maximumVisited> visited;

    bool asked(std::uint32_t serverId) const;
};

} // namespace clementinesill::passthrough
