#pragma once

#include "control/types/peerprogress.h"
#include "foundation/iclock.h"
#include "log.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace clementinesill::control {

// A leader's bookkeeping: which entries a majority holds and how long its lease lasts.
class Replication {
public:
    Replication(std::string self, std::uint64_t diskIdentity)
        : m_self(std::move(self))
        , m_diskIdentity(diskIdentity)
    {
    }

    // Starts over for a new term.
    void start(std::uint64_t lastIndex);

    PeerProgress& peer(const std::string& name);
    const std::map<std::string, PeerProgress>& peers() const { return m_peers; }

    // Notes which data folder answered; what another folder had acknowledged no longer counts.
    void noteIdentity(const std::string& name, std::uint64_t diskIdentity);

    // Highest index that a majority of the members holds durably.
    std::uint64_t majorityIndex(const schema::Membership& membership, std::uint64_t syncedIndex) const;

    // Send time up to which a majority has acknowledged this leader.
    MonotonicTime majoritySend(const schema::Membership& membership, MonotonicTime now) const;

    // Whether the member is this controller or was heard from since the time given.
    bool activeSince(const schema::Member& member, MonotonicTime since) const;

private:
    // Null unless the peer's data folder is the member's.
    const PeerProgress* counted(const schema::Member& member) const;
    bool isSelf(const schema::Member& member) const { return member.name() == m_self && member.disk_identity() == m_diskIdentity; }

    std::string m_self;
    std::uint64_t m_diskIdentity;
    std::uint64_t m_firstNextIndex = 1;
    std::map<std::string, PeerProgress> m_peers;
};

} // namespace clementinesill::control
