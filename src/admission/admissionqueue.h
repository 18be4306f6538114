#pragma once

#include "admission/types/admissionqueueoptions.h"
#include "admission/types/queuepushresult.h"
#include "admission/types/queuetraits.h"
#include "foundation/iclock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace clementinesill::admission {

// Requests that wait for a slot of one server. Decides which one is admitted next and, if there is too little room, which are
// rejected: those whose rejection costs callers least.
class AdmissionQueue {
public:
    AdmissionQueue(const AdmissionQueueOptions& options, const IClock& clock);

    // Adds a request. readyIn is the time until the next slot becomes free, timePerStart the mean time between two slots
    // becoming free. A request that could not leave the queue by its latestStart, or that would be behind maximumLength others,
    // is rejected; the queue then stays as it was. Displaces only requests that come after the added one in the order: those
    // that no longer fit or could no longer start in time.
    QueuePushResult push(const QueueTraits& traits, Duration readyIn, Duration timePerStart);

    // Removes the request that is admitted next and returns its id; nullopt if the queue is empty or holds only requests past
    // their latestStart.
    std::optional<std::uint64_t> pop();

    // Removes the requests whose latestStart has been reached and returns their ids.
    std::vector<std::uint64_t> takeExpired();

    // The earliest latestStart of a waiting request; nullopt if the queue is empty.
    std::optional<MonotonicTime> nextExpiry() const;

    // Removes a request; false if it is not in the queue.
    bool remove(std::uint64_t id);

    // How long a request with these traits would wait if it were added now.
    Duration expectedWait(const QueueTraits& traits, Duration readyIn, Duration timePerStart) const;

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

private:
    struct Entry {
        std::uint64_t id = 0;
        MonotonicTime enqueuedAt;
        QueueTraits traits;
    };

    static bool goesBefore(const Entry& left, const Entry& right, MonotonicTime now);
    void sort(MonotonicTime now);

    AdmissionQueueOptions m_options;
    const IClock& m_clock;
    std::vector<Entry> m_entries;
    std::uint64_t m_lastId = 0;
};

} // namespace clementinesill::admission
