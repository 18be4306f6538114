#include "admission/admissionqueue.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace clementinesill::admission {

namespace {

// A request that has waited this part of its maximum wait counts one priority level higher, so that a steady load of a
// higher priority does not shut out a lower one for good.
constexpr int agingDivisor = 2;
// Upper bound of the callers' estimates; it prevents an overflow when a caller passes "never".
constexpr Duration maximumEstimate = std::chrono::hours(1);

bool isExpired(const QueueTraits& traits, MonotonicTime now) { return now > traits.latestStart; }

std::int64_t effectivePriority(const QueueTraits& traits, MonotonicTime enqueuedAt, MonotonicTime now)
{
    const auto waited = now - enqueuedAt;
    const bool aged = waited > Duration::zero() && waited >= (traits.latestStart - enqueuedAt) / agingDivisor;
    return static_cast<std::int64_t>(traits.priority) - (aged ? 1 : 0);
}

bool missesTarget(const QueueTraits& traits, MonotonicTime now) { return now + traits.expectedWork > traits.targetTime; }

// Work in powers of two, so that the noise of a measurement does not change the order.
std::uint64_t workMagnitude(const QueueTraits& traits)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(traits.expectedWork).count();
    return static_cast<std::uint64_t>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0))));
}

Duration waitBehind(std::int64_t ahead, Duration readyIn, Duration timePerStart)
{
    return std::clamp(readyIn, Duration::zero(), maximumEstimate) + ahead * std::clamp(timePerStart, Duration::zero(), maximumEstimate);
}

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
{
}

bool AdmissionQueue::goesBefore(const Entry& left, const Entry& right, MonotonicTime now)
{
    const auto key = [now](const Entry& entry) {
        // An expired request takes no place from others until takeExpired returns it.
        return std::tuple(isExpired(entry.traits, now), effectivePriority(entry.traits, entry.enqueuedAt, now), missesTarget(entry.traits, now), workMagnitude(entry.traits), entry.traits.targetTime, entry.id);
    };
    return key(left) < key(right);
}

QueuePushResult AdmissionQueue::push(const QueueTraits& traits, Duration readyIn, Duration timePerStart)
{
    const auto now = m_clock.now();
    const Entry added { .id = m_lastId + 1, .enqueuedAt = now, .traits = traits };
    sort(now);
    const auto behind = std::ranges::partition_point(m_entries, [&](const Entry& entry) { return goesBefore(entry, added, now); });
    const auto ahead = behind - m_entries.begin();
    const auto startsInTime = [&](const Entry& entry, std::int64_t place) { return now + waitBehind(place, readyIn, timePerStart) <= entry.traits.latestStart; };
    if (static_cast<std::size_t>(ahead) >= m_options.maximumLength || !startsInTime(added, ahead))
        return {};
    m_lastId = added.id;
    QueuePushResult result { .id = added.id };
    std::vector<Entry> kept(m_entries.begin(), behind);
    kept.push_back(added);
    for (auto entry = behind; entry != m_entries.end(); ++entry) {
        if (kept.size() < m_options.maximumLength && startsInTime(*entry, static_cast<std::int64_t>(kept.size())))
            kept.push_back(*entry);
        else
            result.displaced.push_back(entry->id);
    }
    m_entries = std::move(kept);
    return result;
}

std::optional<std::uint64_t> AdmissionQueue::pop()
{
    const auto now = m_clock.now();
    const auto next = std::ranges::min_element(m_entries, [now](const Entry& left, const Entry& right) { return goesBefore(left, right, now); });
    if (next == m_entries.end() || isExpired(next->traits, now))
        return std::nullopt;
    const auto id = next->id;
    m_entries.erase(next);
    return id;
}

std::vector<std::uint64_t> AdmissionQueue::takeExpired()
{
    const auto now = m_clock.now();
    std::vector<std::uint64_t> expired;
    std::erase_if(m_entries, [&](const Entry& entry) {
        if (entry.traits.latestStart > now)
            return false;
        expired.push_back(entry.id);
        return true;
    });
    return expired;
}

std::optional<MonotonicTime> AdmissionQueue::nextExpiry() const
{
    if (m_entries.empty())
        return std::nullopt;
    return std::ranges::min(m_entries, {}, [](const Entry& entry) { return entry.traits.latestStart; }).traits.latestStart;
}

bool AdmissionQueue::remove(std::uint64_t id)
{
    return std::erase_if(m_entries, [id](const Entry& entry) { return entry.id == id; }) > 0;
}

Duration AdmissionQueue::expectedWait(const QueueTraits& traits, Duration readyIn, Duration timePerStart) const
{
    const auto now = m_clock.now();
    const Entry added { .id = m_lastId + 1, .enqueuedAt = now, .traits = traits };
    const auto ahead = std::ranges::count_if(m_entries, [&](const Entry& entry) { return goesBefore(entry, added, now); });
    return waitBehind(ahead, readyIn, timePerStart);
}

void AdmissionQueue::sort(MonotonicTime now)
{
    std::ranges::sort(m_entries, [now](const Entry& left, const Entry& right) { return goesBefore(left, right, now); });
}

} // namespace clementinesill::admission
