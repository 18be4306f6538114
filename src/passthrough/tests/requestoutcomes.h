#pragma once

#include <cstdint>

namespace clementinesill::passthrough {

// Numbers of requests sent during and after the outage, and how many of them were served before their timeout.
struct RequestOutcomes {
    std::uint64_t sentDuringOutage = 0;
    // Of the requests sent during the outage.
    std::uint64_t servedFromBacklog = 0;
    std::uint64_t sentAfterOutage = 0;
    // Of the requests sent after the outage.
    std::uint64_t servedInTime = 0;
    std::uint64_t servedLate = 0;

    RequestOutcomes& operator+=(const RequestOutcomes& other)
    {
        sentDuringOutage += other.sentDuringOutage;
        servedFromBacklog += other.servedFromBacklog;
        sentAfterOutage += other.sentAfterOutage;
        servedInTime += other.servedInTime;
        servedLate += other.servedLate;
        return *this;
    }
};

} // namespace clementinesill::passthrough
