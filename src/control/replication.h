#pragma once

#include "control/types/peerprogress.h"
#include "foundation/iclock.h"
#include "log.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace clementinesill::control {

// A leader's replication state: which entries a majority holds and how long the lease lasts.
class Replication {
public:
    Replication(std::string self, std::uint64_t diskIdentity)
        : m_self(std::move(self))
        , m_diskIdentity(diskIdentity)
    {
    }

    // Resets the progress of all peers for a new term.
    void startTerm(std::uint64_t lastIndex);

    PeerProgress& peer(const std::string& name);
    const std::map<std::string, PeerProgress>& peers() const { return m_peers; }

    // Records the disk identity of a response. If it has changed, earlier acknowledgements of the peer are discarded, since
    // they were given for another data folder.
    void updateDiskIdentity(const std::string& name, std::uint64_t diskIdentity);

    // Highest index that this many of the members hold durably. syncedIndex is the last durable index of this controller.
    std::uint64_t quorumIndex(const schema::Membership& membership, int quorum, std::uint64_t syncedIndex) const;

    // Latest time such that this many of the members have acknowledged a message sent at that time or later.
    MonotonicTime quorumSendTime(const schema::Membership& membership, int quorum, MonotonicTime now) const;

    // Whether the member is this controller or has acknowledged a message sent at or after the given time.
    bool isActiveSince(const schema::Member& member, MonotonicTime since) const;

private:
    // nullptr unless the peer's last response came from the data folder named in the membership.
    const PeerProgress* memberProgress(const schema::Member& member) const;
    bool isSelf(const schema::Member& member) const { return member.name() == m_self && member.disk_identity() == m_diskIdentity; }

    std::string m_self;
    std::uint64_t m_diskIdentity;
    std::uint64_t m_initialNextIndex = 1;
    std::map<std::string, PeerProgress> m_peers;
};

} // namespace clementinesill::control
