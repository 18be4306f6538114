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

// Controllers over fake folders; messages wait in a queue until the test delivers or loses them.
class ReplicaGroup {
public:
    struct Replica {
        std::string name;
        FakeFileSystem files;
        std::unique_ptr<clementinesill::control::LogStorage> storage;
        RecordingMachine machine;
        // Null while it is down.
        std::unique_ptr<clementinesill::control::ReplicatedLog> log;
    };

    struct Message {
        std::size_t from;
        std::size_t to;
        clementinesill::control::PeerMessage message;
        std::optional<clementinesill::control::PeerAnswer> answer;
    };

    // Changes the options of each replica at its start.
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

    // Runs a call on a replica; a loss of power takes it down.
    template <typename Call>
    void on(std::size_t index, Call call)
    {
        auto& replica = *replicas[index];
        if (!replica.log)
            return;
        try {
            call(*replica.log);
        } catch (const FakeFileSystem::PowerLoss&) {
            kill(index);
        }
    }

    void kill(std::size_t index)
    {
        auto& replica = *replicas[index];
        replica.log.reset();
        replica.files.restart(random);
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
        options.keptEntries = 2;
        options.batchBytes = batchBytes;
        if (m_configure)
            m_configure(index, options);
        try {
            replica.log = std::make_unique<clementinesill::control::ReplicatedLog>(options, clock, random, *replica.storage, replica.machine);
        } catch (const FakeFileSystem::PowerLoss&) {
            kill(index);
        }
    }

    void loseDisk(std::size_t index)
    {
        kill(index);
        replicas[index]->files.loseEverything();
    }

    // Lets the time pass and collects the messages that are due. What the replicas say of their deadlines must hold.
    void pass(clementinesill::Duration duration)
    {
        clock.advance(duration);
        for (std::size_t from = 0; from < replicas.size(); ++from) {
            on(from, [this](auto& log) { tick(log); });
            for (std::size_t to = 0; to < replicas.size(); ++to) {
                if (to == from)
                    continue;
                on(from, [&](auto& log) {
                    const auto peers = log.peers();
                    const bool linked = std::any_of(peers.begin(), peers.end(), [&](const auto& peer) { return peer.name == replicas[to]->name; });
                    if (!linked)
                        return;
                    const bool due = log.messageDueAt(replicas[to]->name) <= clock.now();
                    auto message = log.nextMessage(replicas[to]->name);
                    CHECK_EQUAL(due, message.has_value());
                    if (message)
                        queue.push_back({ .from = from, .to = to, .message = std::move(*message), .answer = {} });
                });
            }
        }
    }

    bool cut(std::size_t left, std::size_t right) const { return cuts.contains({ left, right }) || cuts.contains({ right, left }); }

    void deliver(std::size_t position)
    {
        auto message = std::move(queue[position]);
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
        if (cut(message.from, message.to) || (lose && lose(message)))
            return;
        if (message.answer) {
            on(message.from, [&](auto& log) { log.onAnswer(replicas[message.to]->name, message.message, *message.answer); });
            return;
        }
        on(message.to, [&](auto& log) { message.answer = answer(log, message.message); });
        if (message.answer)
            queue.push_back(std::move(message));
        else
            on(message.from, [&](auto& log) { log.onFailure(replicas[message.to]->name, message.message); });
    }

    void deliverAll()
    {
        while (!queue.empty())
            deliver(0);
    }

    // Index of the replica that leads with a live lease; empty if none does.
    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            if (replicas[index]->log && replicas[index]->log->leaseLive())
                return index;
        }
        return std::nullopt;
    }

    // Lets time pass with all messages delivered until the condition holds; false if it does not within a minute.
    template <typename Condition>
    bool settle(Condition condition)
    {
        for (int round = 0; round < 1200; ++round) {
            if (condition())
                return true;
            pass(std::chrono::milliseconds(50));
            deliverAll();
        }
        return condition();
    }

    bool settleLeader()
    {
        return settle([this] { return leader().has_value(); });
    }

    // Whether a leader's committed membership names every replica under the data folder it has now.
    bool allAdmitted() const
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

    // Proposes at the replica and makes it durable there.
    clementinesill::control::Proposal propose(std::size_t index, const std::string& command)
    {
        clementinesill::control::Proposal proposal;
        on(index, [&](auto& log) {
            proposal = log.propose(command);
            log.flush();
        });
        return proposal;
    }

    clementinesill::ManualClock clock;
    clementinesill::SeededRandom random;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<Message> queue;
    // Of replicas started from now on; 1 sends one entry a message.
    std::size_t batchBytes = 1 << 20;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    // Messages for which it says so are lost, if set.
    std::function<bool(const Message&)> lose;

private:
    Configure m_configure;

    void tick(clementinesill::control::ReplicatedLog& log) const
    {
        const bool due = log.dueAt() <= clock.now();
        const auto role = log.role();
        const auto term = log.term();
        log.tick();
        CHECK(due || (log.role() == role && log.term() == term));
    }

    static clementinesill::control::PeerAnswer answer(clementinesill::control::ReplicatedLog& log, const clementinesill::control::PeerMessage& message)
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
