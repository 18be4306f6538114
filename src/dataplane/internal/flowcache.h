#pragma once

#include "dataplane/iflowcache.h"

#include <array>
#include <atomic>
#include <memory>

namespace clementinesill::dataplane {

// Set-associative cache: a flow's hash names a set of a few entries, each set behind a lock of its own.
class FlowCache final : public IFlowCache {
public:
    // Rounded up to a power of two of sets.
    explicit FlowCache(std::size_t entries);
    ~FlowCache() override;

    std::optional<CachedServer> find(std::uint64_t flowHash) override;
    void store(std::uint64_t flowHash, const CachedServer& server) override;
    void erase(std::uint64_t flowHash) override;
    std::size_t capacity() const override;

    // Memory in bytes of one entry, with its share of the set.
    static std::size_t bytesPerEntry();

private:
    static constexpr std::size_t ways = 7;

    struct Entry {
        std::uint64_t flowHash = 0;
        CachedServer server;
    };

    // Entries are kept in order of their last use, newest first.
    struct Set {
        std::atomic_flag locked;
        std::uint8_t used = 0;
        std::array<Entry, ways> entries;
    };

    class SetLock;

    Set& setOf(std::uint64_t flowHash);
    static std::size_t position(const Set& set, std::uint64_t flowHash);

    std::size_t m_setCount;
    std::unique_ptr<Set[]> m_sets;
};

} // namespace clementinesill::dataplane
