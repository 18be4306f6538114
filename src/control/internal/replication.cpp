#include "control/replication.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace clementinesill::control {

namespace {

// The value that a majority reaches: more than half of the values are at least as high.
template <typename Value>
Value majorityOf(std::vector<Value> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

} // namespace

void Replication::start(std::uint64_t lastIndex)
{
    m_peers.clear();
    m_firstNextIndex = lastIndex + 1;
}

PeerProgress& Replication::peer(const std::string& name)
{
    return m_peers.try_emplace(name, PeerProgress { .nextIndex = m_firstNextIndex }).first->second;
}

void Replication::noteIdentity(const std::string& name, std::uint64_t diskIdentity)
{
    auto& progress = peer(name);
    if (progress.diskIdentity == diskIdentity)
        return;
    progress.diskIdentity = diskIdentity;
    progress.matchIndex = 0;
    progress.acknowledgedSend = {};
}

const PeerProgress* Replication::counted(const schema::Member& member) const
{
    const auto found = m_peers.find(member.name());
    if (found == m_peers.end() || found->second.diskIdentity != member.disk_identity())
        return nullptr;
    return &found->second;
}

std::uint64_t Replication::majorityIndex(const schema::Membership& membership, std::uint64_t syncedIndex) const
{
    std::vector<std::uint64_t> held;
    for (const auto& member : membership.members()) {
        const auto* progress = counted(member);
        held.push_back(isSelf(member) ? syncedIndex : (progress ? progress->matchIndex : 0));
    }
    return majorityOf(std::move(held));
}

MonotonicTime Replication::majoritySend(const schema::Membership& membership, MonotonicTime now) const
{
    std::vector<MonotonicTime> sent;
    for (const auto& member : membership.members()) {
        const auto* progress = counted(member);
        sent.push_back(isSelf(member) ? now : (progress ? progress->acknowledgedSend : MonotonicTime {}));
    }
    return majorityOf(std::move(sent));
}

bool Replication::activeSince(const schema::Member& member, MonotonicTime since) const
{
    const auto* progress = counted(member);
    return isSelf(member) || (progress && progress->acknowledgedSend >= since);
}

} // namespace clementinesill::control
