#include "admission/admissionqueue.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace clementinesill::admission {

namespace {

// A request that has waited this part of its maximum wait counts one priority level higher, so that a steady load of a
// higher priority does not shut out a lower one for good.
constexpr int agingDivisor = 2;

std::int64_t effectivePriority(const QueueTraits& traits, MonotonicTime enqueuedAt, MonotonicTime now)
{
    const bool aged = now - enqueuedAt >= (traits.latestStart - enqueuedAt) / agingDivisor;
    return static_cast<std::int64_t>(traits.priority) - (aged ? 1 : 0);
}

bool missesTarget(const QueueTraits& traits, MonotonicTime now) { return now + traits.expectedWork > traits.targetTime; }

// Work in powers of two, so that the noise of a measurement does not change the order.
int workMagnitude(const QueueTraits& traits)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(traits.expectedWork).count();
    return std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)));
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
        return std::tuple(effectivePriority(entry.traits, entry.enqueuedAt, now), missesTarget(entry.traits, now), workMagnitude(entry.traits), entry.traits.targetTime, entry.id);
    };
    return key(left) < key(right);
}

QueuePushResult AdmissionQueue::push(const QueueTraits& traits, Duration readyIn, Duration timePerStart)
{
    const auto now = m_clock.now();
    const Entry added { .id = ++m_lastId, .enqueuedAt = now, .traits = traits };
    if (now + expectedWait(traits, readyIn, timePerStart) > traits.latestStart)
        return {};
    m_entries.push_back(added);
    sort(now);
    QueuePushResult result;
    std::vector<Entry> kept;
    kept.reserve(m_entries.size());
    for (const auto& entry : m_entries) {
        const auto start = now + readyIn + static_cast<std::int64_t>(kept.size()) * timePerStart;
        if (kept.size() < m_options.maximumLength && start <= entry.traits.latestStart)
            kept.push_back(entry);
        else if (entry.id != added.id)
            result.displaced.push_back(entry.id);
    }
    m_entries = std::move(kept);
    if (std::ranges::find(m_entries, added.id, &Entry::id) != m_entries.end())
        result.id = added.id;
    return result;
}

std::optional<std::uint64_t> AdmissionQueue::pop()
{
    if (m_entries.empty())
        return std::nullopt;
    const auto now = m_clock.now();
    const auto next = std::ranges::min_element(m_entries, [now](const Entry& left, const Entry& right) { return goesBefore(left, right, now); });
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
    return readyIn + ahead * timePerStart;
}

void AdmissionQueue::sort(MonotonicTime now)
{
    std::ranges::sort(m_entries, [now](const Entry& left, const Entry& right) { return goesBefore(left, right, now); });
}

} // namespace clementinesill::admission
