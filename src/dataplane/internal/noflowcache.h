#pragma once

#include "dataplane/iflowcache.h"

namespace clementinesill::dataplane {

// Flow cache without entries.
class NoFlowCache final : public IFlowCache {
public:
    std::optional<CachedServer> find(std::uint64_t) override { return std::nullopt; }
    void store(std::uint64_t, const CachedServer&) override { }
    void erase(std::uint64_t) override { }
    std::size_t capacity() const override { return 0; }
};

} // namespace clementinesill::dataplane
