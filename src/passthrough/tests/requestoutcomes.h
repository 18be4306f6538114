#pragma once

#include <cstdint>
#include <vector>

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
    // By class: requests sent after the outage, and how many of them were served before their timeout.
    std::vector<std::uint64_t> sentByClass;
    std::vector<std::uint64_t> servedByClass;
    // Requests sent more than a second after the burst, and how many of them were served before their timeout.
    std::uint64_t sentAfterBurst = 0;
    std::uint64_t servedAfterBurst = 0;
    // By two-second window after the outage: share of the slots' time that was spent on requests served before their timeout.
    std::vector<double> goodput;

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
