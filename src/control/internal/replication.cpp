#include "control/replication.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace clementinesill::control {

namespace {

// The highest value that this many of the values reach or exceed.
template <typename Value>
Value quorumValue(std::vector<Value> values, int quorum)
{
    if (values.size() < static_cast<std::size_t>(quorum))
        return {};
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[static_cast<std::size_t>(quorum) - 1];
}

} // namespace

void Replication::startTerm(std::uint64_t lastIndex)
{
    m_peers.clear();
    m_initialNextIndex = lastIndex + 1;
}

PeerProgress& Replication::peer(const std::string& name)
{
    return m_peers.try_emplace(name, PeerProgress { .nextIndex = m_initialNextIndex }).first->second;
}

void Replication::updateDiskIdentity(const std::string& name, std::uint64_t diskIdentity)
{
    auto& progress = peer(name);
    if (progress.diskIdentity == diskIdentity)
        return;
    progress.diskIdentity = diskIdentity;
    progress.matchIndex = 0;
    progress.caughtUp = false;
    progress.acknowledgedSendTime = {};
}

const PeerProgress* Replication::memberProgress(const schema::Member& member) const
{
    const auto found = m_peers.find(member.name());
    if (found == m_peers.end() || found->second.diskIdentity != member.disk_identity())
        return nullptr;
    return &found->second;
}

std::uint64_t Replication::quorumIndex(const schema::Membership& membership, int quorum, std::uint64_t syncedIndex) const
{
    std::vector<std::uint64_t> matchIndexes;
    for (const auto& member : membership.members()) {
        const auto* progress = memberProgress(member);
        matchIndexes.push_back(isSelf(member) ? syncedIndex : (progress ? progress->matchIndex : 0));
    }
    return quorumValue(std::move(matchIndexes), quorum);
}

MonotonicTime Replication::quorumSendTime(const schema::Membership& membership, int quorum, MonotonicTime now) const
{
    std::vector<MonotonicTime> sendTimes;
    for (const auto& member : membership.members()) {
        const auto* progress = memberProgress(member);
        sendTimes.push_back(isSelf(member) ? now : (progress ? progress->acknowledgedSendTime : MonotonicTime {}));
    }
    return quorumValue(std::move(sendTimes), quorum);
}

bool Replication::isActiveSince(const schema::Member& member, MonotonicTime since) const
{
    const auto* progress = memberProgress(member);
    return isSelf(member) || (progress && progress->acknowledgedSendTime >= since);
}

} // namespace clementinesill::control
