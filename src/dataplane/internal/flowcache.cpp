#include "dataplane/internal/flowcache.h"

#include <algorithm>
#include <bit>

namespace clementinesill::dataplane {

// A spinlock, since the lock is held for a few dozen instructions only.
class FlowCache::SetLock {
public:
    explicit SetLock(Set& set)
        : m_set(set)
    {
        while (m_set.lockFlag.test_and_set(std::memory_order_acquire)) { }
    }

    ~SetLock() { m_set.lockFlag.clear(std::memory_order_release); }
    SetLock(const SetLock&) = delete;
    SetLock& operator=(const SetLock&) = delete;

private:
    Set& m_set;
};

FlowCache::FlowCache(std::size_t entries)
    : m_setCount(std::bit_ceil(std::max<std::size_t>(1, (entries + ways - 1) / ways)))
    , m_sets(std::make_unique<Set[]>(m_setCount))
{
}

FlowCache::~FlowCache() = default;

FlowCache::Set& FlowCache::setFor(std::uint64_t flowHash)
{
    return m_sets[flowHash & (m_setCount - 1)];
}

std::size_t FlowCache::findIndex(const Set& set, std::uint64_t flowHash)
{
    std::size_t index = 0;
    while (index < set.entryCount && set.entries[index].flowHash != flowHash)
        ++index;
    return index;
}

std::optional<CachedServer> FlowCache::find(std::uint64_t flowHash)
{
    auto& set = setFor(flowHash);
    const SetLock lock(set);
    const auto index = findIndex(set, flowHash);
    if (index == set.entryCount)
        return std::nullopt;
    std::rotate(set.entries.begin(), set.entries.begin() + static_cast<std::ptrdiff_t>(index), set.entries.begin() + static_cast<std::ptrdiff_t>(index) + 1);
    return set.entries[0].server;
}

void FlowCache::store(std::uint64_t flowHash, const CachedServer& server)
{
    auto& set = setFor(flowHash);
    const SetLock lock(set);
    auto index = findIndex(set, flowHash);
    if (index == set.entryCount) {
        if (set.entryCount < ways)
            ++set.entryCount;
        else
            index = ways - 1;
    }
    const auto end = set.entries.begin() + static_cast<std::ptrdiff_t>(index) + 1;
    std::rotate(set.entries.begin(), end - 1, end);
    set.entries[0] = { .flowHash = flowHash, .server = server };
}

void FlowCache::erase(std::uint64_t flowHash)
{
    auto& set = setFor(flowHash);
    const SetLock lock(set);
    const auto index = findIndex(set, flowHash);
    if (index == set.entryCount)
        return;
    const auto entry = set.entries.begin() + static_cast<std::ptrdiff_t>(index);
    std::rotate(entry, entry + 1, set.entries.begin() + set.entryCount);
    --set.entryCount;
}

std::size_t FlowCache::capacity() const
{
    return m_setCount * ways;
}

std::size_t FlowCache::bytesPerEntry()
{
    return (sizeof(Set) + ways - 1) / ways;
}

} // namespace clementinesill::dataplane
