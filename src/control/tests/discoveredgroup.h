#pragma once

#include "tests/firststart.h"
#include "tests/replicagroup.h"

// Group with discovery: the first three controllers bootstrap it at the fleet's first start, the others join.
class DiscoveredGroup : public FirstStart, public ReplicaGroup {
public:
    static constexpr std::size_t seedCount = 3;
    static constexpr int memberCount = 5;

    explicit DiscoveredGroup(std::size_t count, std::uint64_t seed = 1)
        : ReplicaGroup(count, seed, [this](std::size_t index, auto& options) { configure(index, options); })
    {
    }

    // Advances the time; controllers without a leader send a join request to all reachable ones, as GroupJoiner does.
    void advanceAndJoin(clementinesill::Duration duration)
    {
        advance(duration);
        deliverAll();
        for (std::size_t from = 0; from < replicas.size(); ++from) {
            if (!replicas[from]->log || replicas[from]->log->hasLeader())
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

private:
    void configure(std::size_t index, clementinesill::control::ReplicatedLogOptions& options) const
    {
        options.maxMembers = memberCount;
        options.mayBootstrap = firstStart && index < seedCount;
        options.peers.clear();
        for (std::size_t peer = 0; options.mayBootstrap && peer < seedCount; ++peer) {
            const auto name = "control-" + std::to_string(peer + 1);
            options.peers.push_back({ .name = name, .endpoint = name });
        }
    }
};
