#pragma once

#include "foundation/iclock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

namespace clementinesill::admission {

// Counts of a run of the queue model by whole seconds since its begin.
class QueueModelResult {
public:
    void addArrival(std::size_t classIndex, Duration at, Duration work)
    {
        ++m_requests[classIndex][whole(at)];
        m_workRequested[whole(at)] += seconds(work);
    }

    // The response to a request that arrived at the first time was received at the second, within the caller's timeout.
    void addResponse(std::size_t classIndex, Duration arrivedAt, Duration at, Duration work)
    {
        ++m_served[classIndex][whole(arrivedAt)];
        m_workDone[whole(at)] += seconds(work);
    }

    void addWait(Duration wait) { m_longestWait = std::max(m_longestWait, wait); }

    // Requests of a class that were served, of those that arrived in a window.
    double servedRequests(std::size_t classIndex, Duration from, Duration to) const { return sum(m_served, classIndex, from, to); }

    // Share of a class that was served, of the requests that arrived in a window.
    double served(std::size_t classIndex, Duration from, Duration to) const
    {
        return servedRequests(classIndex, from, to) / sum(m_requests, classIndex, from, to);
    }

    // Work done in a window for callers that still waited for it, as a share of what the slots can do or of what was
    // requested, whichever is less.
    double goodput(std::uint32_t slots, Duration from, Duration to) const
    {
        return sum(m_workDone, from, to) / std::min(sum(m_workRequested, from, to), slots * seconds(to - from));
    }

    Duration longestWait() const { return m_longestWait; }

private:
    using Sums = std::map<std::int64_t, double>;

    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    static std::int64_t whole(Duration duration) { return std::chrono::duration_cast<std::chrono::seconds>(duration).count(); }

    static double sum(const Sums& sums, Duration from, Duration to)
    {
        double total = 0;
        for (auto found = sums.lower_bound(whole(from)); found != sums.end() && found->first < whole(to); ++found)
            total += found->second;
        return total;
    }

    static double sum(const std::map<std::size_t, Sums>& sums, std::size_t classIndex, Duration from, Duration to)
    {
        const auto found = sums.find(classIndex);
        return found == sums.end() ? 0 : sum(found->second, from, to);
    }

    std::map<std::size_t, Sums> m_requests;
    std::map<std::size_t, Sums> m_served;
    Sums m_workRequested;
    Sums m_workDone;
    Duration m_longestWait { 0 };
};

} // namespace clementinesill::admission
