#pragma once

#include "control/logstorage.h"
#include "control/replicatedlog.h"
#include "foundation/seededrandom.h"
#include "testing/manualclock.h"
#include "tests/fakefilesystem.h"
#include "tests/recordingmachine.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Replicas with in-memory folders; messages stay in a queue until the test delivers or drops them.
class ReplicaGroup {
public:
    struct Replica {
        std::string name;
        FakeFileSystem files;
        std::unique_ptr<clementinesill::control::LogStorage> storage;
        RecordingMachine machine;
        // Null while the replica is down.
        std::unique_ptr<clementinesill::control::ReplicatedLog> log;
        // Names of the peers to which the process has a link. A link exists until the process ends, also if the peer leaves the
        // group.
        std::set<std::string> links;
    };

    struct Message {
        std::size_t from;
        std::size_t to;
        clementinesill::control::PeerMessage message;
        std::optional<clementinesill::control::PeerResponse> response;
    };

    // Changes the options of a replica before it starts.
    using Configure = std::function<void(std::size_t index, clementinesill::control::ReplicatedLogOptions& options)>;

    explicit ReplicaGroup(std::size_t count, std::uint64_t seed = 1, Configure configure = {})
        : random(seed)
        , m_configure(std::move(configure))
    {
        for (std::size_t index = 0; index < count; ++index) {
            auto& replica = replicas.emplace_back(std::make_unique<Replica>());
            replica->name = "control-" + std::to_string(index + 1);
        }
        for (std::size_t index = 0; index < count; ++index)
            start(index);
    }

    // Calls the function with the replica's log; a power loss stops the replica, and a refused write or a replica that is being
    // stopped fails the call as it fails the call of a peer.
    template <typename Call>
    void runOn(std::size_t index, Call call)
    {
        auto& replica = *replicas[index];
        if (!replica.log || paused.contains(index))
            return;
        try {
            call(*replica.log);
        } catch (const FakeFileSystem::PowerLoss&) {
            kill(index);
        } catch (const clementinesill::Error& error) {
            CHECK(leaving.contains(index) ? error.kind() == clementinesill::ErrorKind::Unavailable : error.kind() == clementinesill::ErrorKind::Storage && replica.files.full);
        }
    }

    void kill(std::size_t index)
    {
        auto& replica = *replicas[index];
        replica.log.reset();
        leaving.erase(index);
        replica.links.clear();
        replica.files.restartAfterPowerLoss(random);
    }

    void start(std::size_t index)
    {
        auto& replica = *replicas[index];
        if (replica.log)
            return;
        replica.machine.applied.clear();
        replica.storage = std::make_unique<clementinesill::control::LogStorage>(replica.files, random);
        clementinesill::control::ReplicatedLogOptions options { .name = replica.name, .endpoint = replica.name };
        for (const auto& peer : replicas)
            options.peers.push_back({ .name = peer->name, .endpoint = peer->name });
        options.snapshotEntries = 8;
        options.trailingEntries = 2;
        options.maxBatchBytes = maxBatchBytes;
        if (m_configure)
            m_configure(index, options);
        try {
            replica.log = std::make_unique<clementinesill::control::ReplicatedLog>(options, clock, random, *replica.storage, replica.machine);
        } catch (const FakeFileSystem::PowerLoss&) {
            kill(index);
        } catch (const clementinesill::Error&) {
            // A process that cannot open its storage ends; it may be started again.
            CHECK(replica.files.full);
        }
    }

    void wipeDataFolder(std::size_t index)
    {
        kill(index);
        replicas[index]->files.wipe();
    }

    // Advances the time and queues the messages that are due. Checks the deadlines reported by the replicas.
    void advance(clementinesill::Duration duration)
    {
        clock.advance(duration);
        for (std::size_t from = 0; from < replicas.size(); ++from) {
            runOn(from, [&](auto& log) { tick(log, replicas[from]->files.full); });
            for (std::size_t to = 0; to < replicas.size(); ++to) {
                if (to == from)
                    continue;
                runOn(from, [&](auto& log) {
                    for (const auto& peer : log.peers())
                        replicas[from]->links.insert(peer.name);
                    if (!replicas[from]->links.contains(replicas[to]->name))
                        return;
                    const bool due = log.nextMessageTime(replicas[to]->name) <= clock.now();
                    auto message = log.nextMessage(replicas[to]->name);
                    // A leader whose disk refuses the flush has no message.
                    if (!replicas[from]->files.full)
                        CHECK_EQUAL(due, message.has_value());
                    if (message)
                        queue.push_back({ .from = from, .to = to, .message = std::move(*message), .response = {} });
                });
            }
        }
    }

    bool isPartitioned(std::size_t left, std::size_t right) const { return partitions.contains({ left, right }) || partitions.contains({ right, left }); }

    void deliver(std::size_t position)
    {
        auto message = std::move(queue[position]);
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
        if (isPartitioned(message.from, message.to) || (shouldDrop && shouldDrop(message)))
            return;
        if (message.response) {
            runOn(message.from, [&](auto& log) { log.onResponse(replicas[message.to]->name, message.message, *message.response); });
            return;
        }
        runOn(message.to, [&](auto& log) { message.response = handleRequest(log, message.message); });
        if (message.response)
            queue.push_back(std::move(message));
        else
            runOn(message.from, [&](auto& log) { log.onFailure(replicas[message.to]->name, message.message); });
    }

    void deliverAll()
    {
        while (!queue.empty())
            deliver(0);
    }

    // Index of the replica that is the leader with a valid lease; empty if there is none.
    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            if (replicas[index]->log && replicas[index]->log->hasValidLease())
                return index;
        }
        return std::nullopt;
    }

    // Advances the time and delivers all messages until the condition holds; false if it does not within a minute.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int round = 0; round < 1200; ++round) {
            if (condition())
                return true;
            advance(std::chrono::milliseconds(50));
            deliverAll();
        }
        return condition();
    }

    bool runUntilLeader()
    {
        return runUntil([this] { return leader().has_value(); });
    }

    // Whether a leader's committed membership consists of all replicas with their current disk identities.
    bool allReplicasAreMembers() const
    {
        const auto index = leader();
        if (!index)
            return false;
        const auto& log = *replicas[*index]->log;
        const auto* membership = log.entries().membership();
        if (log.entries().membershipIndex() > log.commitIndex() || membership->members_size() != static_cast<int>(replicas.size()))
            return false;
        for (const auto& member : membership->members()) {
            for (const auto& replica : replicas) {
                if (replica->name == member.name() && (!replica->log || replica->log->diskIdentity() != member.disk_identity()))
                    return false;
            }
        }
        return true;
    }

    // Proposes the command to the replica and makes it durable there.
    clementinesill::control::Proposal propose(std::size_t index, const std::string& command)
    {
        clementinesill::control::Proposal proposal;
        runOn(index, [&](auto& log) {
            proposal = log.propose(command);
            log.flush();
        });
        return proposal;
    }

    clementinesill::ManualClock clock;
    clementinesill::SeededRandom random;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<Message> queue;
    // For replicas started from now on; 1 sends one entry per message.
    std::size_t maxBatchBytes = 1 << 20;
    std::set<std::pair<std::size_t, std::size_t>> partitions;
    // Replicas that do not run; they keep their state and receive no messages.
    std::set<std::size_t> paused;
    // Replicas that have announced their stop and still run; they reject what a leader sends.
    std::set<std::size_t> leaving;
    // Messages for which this returns true are dropped, if set.
    std::function<bool(const Message&)> shouldDrop;

private:
    Configure m_configure;

    void tick(clementinesill::control::ReplicatedLog& log, bool diskFull) const
    {
        const bool due = log.nextDeadline() <= clock.now();
        const auto role = log.role();
        const auto term = log.term();
        log.tick();
        // A leader whose disk refuses a write steps down before its deadline.
        CHECK(due || diskFull || (log.role() == role && log.term() == term));
    }

    static clementinesill::control::PeerResponse handleRequest(clementinesill::control::ReplicatedLog& log, const clementinesill::control::PeerMessage& message)
    {
        using namespace clementinesill;
        if (const auto* vote = std::get_if<schema::VoteRequest>(&message.request))
            return log.onVote(*vote);
        if (const auto* append = std::get_if<schema::AppendRequest>(&message.request))
            return log.onAppend(*append);
        if (const auto* snapshot = std::get_if<schema::SnapshotRequest>(&message.request))
            return log.onSnapshot(*snapshot);
        return log.onDescribe(std::get<schema::DescribeRequest>(message.request));
    }
};
