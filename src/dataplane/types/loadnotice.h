#pragma once

#include <boost/container/static_vector.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace clementinesill::dataplane {

// How much room a server has for new flows.
enum class LoadLevel : std::uint8_t {
    // No free slot: a new flow waits.
    Busy = 1,
    // New flows of the notice's priority and below are rejected.
    Full = 2,
};

constexpr std::size_t maximumNoticeServers = 31;

// Load of some servers, reported by an agent to the balancer that placed a new flow.
struct LoadNotice {
    LoadLevel level = LoadLevel::Busy;
    // For Full: the highest priority (the smallest number) that was rejected.
    std::uint32_t priority = 0;
    std::chrono::milliseconds validity { 0 };
    // Server ids.
    boost::container::static_vector<std::uint32_t, maximumNoticeServers> servers;

    bool operator==(const LoadNotice&) const = default;
};

} // namespace clementinesill::dataplane
