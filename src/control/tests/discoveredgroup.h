#pragma once

#include "tests/firststart.h"
#include "tests/replicagroup.h"

// Controllers that find each other: the first three form the group at the fleet's first start, the others ask to join.
class DiscoveredGroup : public FirstStart, public ReplicaGroup {
public:
    static constexpr std::size_t seeds = 3;
    static constexpr int members = 5;

    explicit DiscoveredGroup(std::size_t count, std::uint64_t seed = 1)
        : ReplicaGroup(count, seed, [this](std::size_t index, auto& options) { configure(index, options); })
    {
    }

    // Lets time pass; controllers that hear no leader ask all that they reach, as their joiner does.
    void passAndJoin(clementinesill::Duration duration)
    {
        pass(duration);
        deliverAll();
        for (std::size_t from = 0; from < replicas.size(); ++from) {
            if (!replicas[from]->log || replicas[from]->log->leaderHeard())
                continue;
            clementinesill::schema::JoinRequest request;
            request.set_name(replicas[from]->name);
            request.set_endpoint(replicas[from]->name);
            for (std::size_t to = 0; to < replicas.size(); ++to) {
                if (to != from && !cut(from, to))
                    on(to, [&](auto& log) { log.onJoin(request); });
            }
        }
    }

    template <typename Condition>
    bool settleAndJoin(Condition condition)
    {
        for (int round = 0; round < 1200; ++round) {
            if (condition())
                return true;
            passAndJoin(std::chrono::milliseconds(50));
        }
        return condition();
    }

    // Whether a leader's committed membership names exactly these replicas under their data folders.
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

    // Proposes at the leader and lets it be accepted; false if no leader accepted it.
    bool accept(const std::string& command)
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
            passAndJoin(std::chrono::milliseconds(20));
        }
        return false;
    }

private:
    void configure(std::size_t index, clementinesill::control::ReplicatedLogOptions& options) const
    {
        options.memberLimit = members;
        options.mayForm = firstStart && index < seeds;
        options.peers.clear();
        for (std::size_t peer = 0; options.mayForm && peer < seeds; ++peer) {
            const auto name = "control-" + std::to_string(peer + 1);
            options.peers.push_back({ .name = name, .endpoint = name });
        }
    }
};
