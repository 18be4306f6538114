#include "requests/claimround.h"

#include "foundation/seededrandom.h"
#include "requests/claimvoter.h"
#include "requests/claimvoters.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

const ClaimOptions quickOptions { .lifetime = std::chrono::seconds(20), .roundTimeout = std::chrono::seconds(1), .maxViewDelay = std::chrono::seconds(2) };
constexpr auto stepDuration = std::chrono::milliseconds(250);
constexpr std::uint32_t agentCount = 6;

// Simulates agents that claim the same key over a network that loses, duplicates and delays messages, while agents
// restart, join and leave.
class ClaimSimulation {
public:
    ClaimSimulation(std::uint64_t seed, bool faults)
        : m_random(seed)
        , m_faults(faults)
    {
        for (std::uint32_t server = 1; server <= agentCount; ++server) {
            m_voters.push_back(std::make_unique<ClaimVoter>(server, quickOptions, m_clock));
            m_views.push_back({ 1, 2, 3, 4 });
        }
        for (auto time = Duration::zero(); time <= quickOptions.abstentionPeriod(); time += stepDuration)
            step();
    }

    void step()
    {
        m_clock.advance(stepDuration);
        for (std::size_t index = 0; index < agentCount; ++index)
            m_voters[index]->onView(m_views[index]);
        deliver();
        for (auto& claim : m_claims)
            decide(claim);
    }

    void injectRandomEvents()
    {
        if (m_random.below(m_claimInterval) == 0)
            startClaim();
        if (!m_faults)
            return;
        if (m_random.below(m_restartInterval) == 0)
            restartVoter();
        if (m_random.below(m_changeInterval) == 0)
            changeMembers();
    }

    // Counts pairs of grants so close in time that both requests could run; ignores pairs whose earlier claim was released.
    int conflicts() const
    {
        int count = 0;
        for (const auto& first : m_claims) {
            for (const auto& second : m_claims) {
                if (!first.granted || !second.granted || first.id.number >= second.id.number)
                    continue;
                const auto interval = *second.granted > *first.granted ? *second.granted - *first.granted : *first.granted - *second.granted;
                const auto& earlier = *second.granted > *first.granted ? first : second;
                if (!earlier.released && interval < quickOptions.lifetime - quickOptions.roundTimeout)
                    ++count;
            }
        }
        return count;
    }

    int granted() const
    {
        return static_cast<int>(std::count_if(m_claims.begin(), m_claims.end(), [](const auto& claim) { return claim.granted.has_value(); }));
    }

private:
    struct Claim {
        ClaimId id;
        std::vector<std::uint32_t> voters;
        ClaimRound round;
        bool decided = false;
        bool released = false;
        std::optional<MonotonicTime> granted;
    };
    struct Message {
        MonotonicTime deliveryTime;
        std::function<void()> action;
    };

    void send(std::function<void()> action)
    {
        if (m_faults && m_random.below(100) < m_lossPercent)
            return;
        const auto copies = m_faults && m_random.below(4) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = m_faults ? stepDuration * static_cast<int>(m_random.below(m_maxDelaySteps)) : Duration::zero();
            m_messages.push_back({ m_clock.now() + delay, action });
        }
    }

    void deliver()
    {
        auto due = std::exchange(m_messages, {});
        for (auto& message : due) {
            if (message.deliveryTime <= m_clock.now())
                message.action();
            else
                m_messages.push_back(std::move(message));
        }
    }

    void startClaim()
    {
        const auto claimant = m_random.below(agentCount);
        const auto voters = claimVoters("key", m_views[claimant]);
        const ClaimId id { .server = static_cast<std::uint32_t>(claimant + 1), .number = m_claims.size() + 1 };
        m_claims.push_back({ .id = id, .voters = voters, .round = ClaimRound(voters, quickOptions, m_clock) });
        for (const auto voter : voters)
            send([this, voter, index = m_claims.size() - 1] { handleVoteRequest(voter, index); });
    }

    void handleVoteRequest(std::uint32_t voter, std::size_t index)
    {
        const auto response = m_voters[voter - 1]->vote("key", m_claims[index].id);
        send([this, voter, response, index] { m_claims[index].round.onResponse(voter, response); });
    }

    void decide(Claim& claim)
    {
        const auto result = claim.round.result();
        if (claim.decided || !result)
            return;
        claim.decided = true;
        if (*result == ClaimResult::Granted)
            claim.granted = m_clock.now();
        // Releases the key if it was not granted. One granted key in three is released too, as if its request was not run.
        if (claim.granted && m_random.below(3) != 0)
            return;
        claim.released = true;
        for (const auto voter : claim.voters)
            send([this, voter, id = claim.id] { m_voters[voter - 1]->release("key", id); });
    }

    void restartVoter()
    {
        const auto index = m_random.below(agentCount);
        m_voters[index] = std::make_unique<ClaimVoter>(static_cast<std::uint32_t>(index + 1), quickOptions, m_clock);
    }

    void changeMembers()
    {
        const auto server = static_cast<std::uint32_t>(m_random.below(agentCount) + 1);
        if (const auto found = std::find(m_members.begin(), m_members.end(), server); found != m_members.end())
            m_members.erase(found);
        else
            m_members.push_back(server);
        // The change reaches each agent after its own delay, within maxViewDelay.
        for (std::size_t index = 0; index < agentCount; ++index) {
            const auto lag = stepDuration * static_cast<int>(m_random.below(8));
            m_messages.push_back({ m_clock.now() + lag, [this, index, version = ++m_version, members = m_members] { setView(index, version, members); } });
        }
    }

    void setView(std::size_t index, std::uint64_t version, const std::vector<std::uint32_t>& members)
    {
        if (version < m_viewVersions[index])
            return;
        m_viewVersions[index] = version;
        m_views[index] = members;
    }

    SeededRandom m_random;
    bool m_faults;
    // Average number of steps between two events, and network faults; vary with the seed.
    std::uint64_t m_claimInterval = 2 + m_random.below(40);
    std::uint64_t m_restartInterval = 20 + m_random.below(400);
    std::uint64_t m_changeInterval = 20 + m_random.below(400);
    std::uint64_t m_lossPercent = m_random.below(50);
    std::uint64_t m_maxDelaySteps = 1 + m_random.below(8);
    ManualClock m_clock;
    std::vector<std::unique_ptr<ClaimVoter>> m_voters;
    std::vector<std::uint32_t> m_members { 1, 2, 3, 4 };
    std::vector<std::vector<std::uint32_t>> m_views;
    std::vector<std::uint64_t> m_viewVersions = std::vector<std::uint64_t>(agentCount, 0);
    std::uint64_t m_version = 0;
    std::vector<Claim> m_claims;
    std::vector<Message> m_messages;
};

} // namespace

// clang-format off
TEST_GROUP(ClaimRound)
{
    ManualClock clock;
    const std::vector<std::uint32_t> voters { 1, 2, 3 };
    ClaimRound round { voters, quickOptions, clock };
};
// clang-format on

TEST(ClaimRound, RequiresMajorityOfDistinctVoters)
{
    round.onResponse(1, { ClaimVote::Granted, 2 });
    round.onResponse(1, { ClaimVote::Granted, 2 });
    round.onResponse(9, { ClaimVote::Granted, 2 });
    CHECK_FALSE(round.result().has_value());
    round.onResponse(2, { ClaimVote::Granted, 2 });
    CHECK(round.result() == ClaimResult::Granted);
}

TEST(ClaimRound, IgnoresLateVotes)
{
    round.onResponse(1, { ClaimVote::Granted, 2 });
    clock.advance(quickOptions.roundTimeout);
    round.onResponse(2, { ClaimVote::Granted, 2 });
    CHECK(round.result() == ClaimResult::NoMajority);
}

TEST(ClaimRound, ReportsTakenKeyWithoutMajority)
{
    round.onResponse(1, { ClaimVote::Taken, 2 });
    round.onResponse(2, { ClaimVote::Abstained, 2 });
    CHECK(round.result() == ClaimResult::Taken);
}

TEST(ClaimRound, VoterCanRequireLargerMajority)
{
    ClaimRound alone(std::vector<std::uint32_t> { 1 }, quickOptions, clock);
    alone.onResponse(1, { ClaimVote::Granted, 2 });
    CHECK(alone.result() == ClaimResult::NoMajority);
}

TEST(ClaimRound, GrantsClaimsWithoutFaults)
{
    ClaimSimulation simulation(1, false);
    for (int count = 0; count < 100; ++count) {
        simulation.injectRandomEvents();
        simulation.step();
    }
    CHECK(simulation.granted() > 0);
    CHECK_EQUAL(0, simulation.conflicts());
}

TEST(ClaimRound, GrantsKeyOnceUnderFaults)
{
    int granted = 0;
    CHECK(rc::check("no two claims of a key are granted within the claim lifetime", [&](std::uint64_t seed) {
        ClaimSimulation simulation(seed, true);
        for (int count = 0; count < 2000; ++count) {
            simulation.injectRandomEvents();
            simulation.step();
        }
        granted += simulation.granted();
        RC_ASSERT(simulation.conflicts() == 0);
    }));
    CHECK(granted > 0);
}
