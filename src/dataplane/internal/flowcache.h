#pragma once

#include "dataplane/iflowcache.h"

#include <array>
#include <atomic>
#include <memory>

namespace clementinesill::dataplane {

// Set-associative cache: the hash of a flow selects a set of a few entries. Each set has its own lock and evicts its least
// recently used entry.
class FlowCache final : public IFlowCache {
public:
    // The number of sets is rounded up to a power of two.
    explicit FlowCache(std::size_t entries);
    ~FlowCache() override;

    std::optional<CachedServer> find(std::uint64_t flowHash) override;
    void store(std::uint64_t flowHash, const CachedServer& server) override;
    void erase(std::uint64_t flowHash) override;
    std::size_t capacity() const override;

    // Memory in bytes of one entry, including its share of the set's overhead.
    static std::size_t bytesPerEntry();

private:
    static constexpr std::size_t ways = 7;

    struct Entry {
        std::uint64_t flowHash = 0;
        CachedServer server;
    };

    // Entries are ordered by last use, most recent first.
    struct Set {
        std::atomic_flag lockFlag;
        std::uint8_t entryCount = 0;
        std::array<Entry, ways> entries;
    };

    class SetLock;

    Set& setFor(std::uint64_t flowHash);
    // Index of the entry; entryCount of the set if there is none.
    static std::size_t findIndex(const Set& set, std::uint64_t flowHash);

    std::size_t m_setCount;
    std::unique_ptr<Set[]> m_sets;
};

} // namespace clementinesill::dataplane
