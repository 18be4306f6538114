#pragma once

#include "control/internal/discoveredgroupoptions.h"
#include "tests/firststart.h"
#include "tests/replicagroup.h"

#include <map>

// Group with discovery: the first three controllers bootstrap it at the fleet's first start, the others join.
class DiscoveredGroup : public FirstStart, public ReplicaGroup {
public:
    static constexpr int memberCount = 5;
    // A controller that was replaced by one at another address no longer counts as lost once the successor has run for this long
    // (catch_up_s of the users' deployments).
    static constexpr auto catchUpTime = std::chrono::seconds(4);
    // A controller that was removed has been noticed by then, also if it led. Until then its disk counts as lost, although its successor
    // has caught up: with two more lost disks and a controller that is down, every copy of a change may be lost
    // (docs/design-control.md, "What cannot be tolerated").
    static constexpr auto noticeTime = std::chrono::seconds(3);
    // Time within which the group must serve again after all controllers are back (recovery_s of the users' deployments).
    static constexpr auto recoveryTime = std::chrono::seconds(12);

    explicit DiscoveredGroup(std::size_t count, std::uint64_t seed = 1)
        : ReplicaGroup(count, seed, [this](std::size_t, auto& options) { configure(options); })
    {
    }

    // Advances the time; controllers without a leader send a join request to all reachable ones at intervals, as GroupJoiner
    // does.
    void advanceAndJoin(clementinesill::Duration duration)
    {
        advance(duration);
        deliverAll();
        for (std::size_t from = 0; from < replicas.size(); ++from) {
            if (!replicas[from]->log || m_nextJoinTimes[from] > clock.now())
                continue;
            m_nextJoinTimes[from] = clock.now() + joinInterval;
            if (!replicas[from]->log->needsToJoin())
                continue;
            clementinesill::schema::JoinRequest request;
            request.set_name(replicas[from]->name);
            request.set_endpoint(replicas[from]->name);
            for (std::size_t to = 0; to < replicas.size(); ++to) {
                if (to != from && !isPartitioned(from, to))
                    runOn(to, [&](auto& log) { log.onJoin(request); });
            }
        }
    }

    void runFor(clementinesill::Duration duration)
    {
        const auto end = clock.now() + duration;
        while (clock.now() < end)
            advanceAndJoin(std::chrono::milliseconds(20));
    }

    // Starts the replica; it sends its first join request after the interval.
    void startAndJoin(std::size_t index)
    {
        start(index);
        m_nextJoinTimes[index] = clock.now() + joinInterval;
    }

    // Stops the replica as a controller is stopped by SIGTERM: its process ends some time after the announcement.
    void stopAsPlanned(std::size_t index, clementinesill::Duration untilEnd = {})
    {
        clementinesill::schema::LeaveGroupRequest request;
        runOn(index, [&](auto& log) { request = log.leaveGroup(); });
        leaving.insert(index);
        for (std::size_t to = 0; to < replicas.size(); ++to) {
            if (to != index && !isPartitioned(index, to))
                runOn(to, [&](auto& log) { log.onLeaveGroup(request); });
        }
        runFor(untilEnd);
        kill(index);
    }

    template <typename Condition>
    bool runAndJoinUntil(Condition condition)
    {
        for (int round = 0; round < 1200; ++round) {
            if (condition())
                return true;
            advanceAndJoin(std::chrono::milliseconds(50));
        }
        return condition();
    }

    // Whether a leader's committed membership consists of exactly these replicas with their current disk identities.
    bool membersAre(const std::set<std::size_t>& expected) const
    {
        const auto index = leader();
        if (!index)
            return false;
        const auto& log = *replicas[*index]->log;
        const auto* membership = log.entries().membership();
        if (log.entries().membershipIndex() > log.commitIndex() || membership->members_size() != static_cast<int>(expected.size()))
            return false;
        for (const auto& member : membership->members()) {
            const bool found = std::any_of(expected.begin(), expected.end(), [&](auto replica) {
                return replicas[replica]->log && replicas[replica]->name == member.name() && replicas[replica]->log->diskIdentity() == member.disk_identity();
            });
            if (!found)
                return false;
        }
        return true;
    }

    // Number of members of the leader's committed membership; 0 if there is none or a member's data folder is not the current one.
    int currentVoters() const
    {
        const auto index = leader();
        if (!index)
            return 0;
        const auto& log = *replicas[*index]->log;
        const auto& members = log.entries().membership()->members();
        const bool allCurrent = std::all_of(members.begin(), members.end(), [&](const auto& member) {
            return std::any_of(replicas.begin(), replicas.end(), [&](const auto& replica) { return replica->log && replica->name == member.name() && replica->log->diskIdentity() == member.disk_identity(); });
        });
        return allCurrent && log.entries().membershipIndex() <= log.commitIndex() ? members.size() : 0;
    }

    // Proposes the command to the leader and waits for the commit; false if no leader committed it.
    bool commit(const std::string& command)
    {
        const auto index = leader();
        if (!index)
            return false;
        const auto proposal = propose(*index, command);
        if (!proposal.index)
            return false;
        for (int round = 0; round < 40; ++round) {
            const auto& replica = replicas[*index];
            if (replica->log && replica->log->commitIndex() >= proposal.index && replica->log->term() == proposal.term)
                return true;
            advanceAndJoin(std::chrono::milliseconds(20));
        }
        return false;
    }

    // Whether the replica's name votes in the leader's committed membership; true if there is no leader or a change of the
    // members is not committed.
    bool isVoter(std::size_t replica) const
    {
        const auto index = leader();
        if (!index || replicas[*index]->log->entries().membershipIndex() > replicas[*index]->log->commitIndex())
            return true;
        const auto& members = replicas[*index]->log->entries().membership()->members();
        return std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.name() == replicas[replica]->name; });
    }

private:
    static constexpr auto joinInterval = std::chrono::milliseconds(500);

    std::map<std::size_t, clementinesill::MonotonicTime> m_nextJoinTimes;

    void configure(clementinesill::control::ReplicatedLogOptions& options) const
    {
        options.peers.clear();
        clementinesill::control::setDiscoveredGroupOptions(options, firstStart, { "control-1", "control-2", "control-3" });
    }
};
