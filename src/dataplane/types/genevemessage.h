#pragma once

#include "dataplane/types/candidate.h"
#include "dataplane/types/holder.h"
#include "dataplane/types/route.h"

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <optional>
#include <span>

namespace clementinesill::dataplane {

constexpr std::size_t maximumVisited = 30;
constexpr std::size_t maximumCandidates = 7;

// One Geneve datagram with the options of docs/wire.md. Views its payload, which must outlive it.
struct GeneveMessage {
    // 24 bits.
    std::uint32_t serviceId = 0;
    // Carries no packet.
    bool control = false;
    std::optional<Route> route;
    boost::container::static_vector<std::uint32_t, maximumVisited> visited;
    boost::container::static_vector<Candidate, maximumCandidates> candidates;
    std::optional<Holder> holder;
    // The IPv4 packet.
    std::span<const std::byte> payload;
};

} // namespace clementinesill::dataplane
