#include "requests/claimround.h"

#include "foundation/seededrandom.h"
#include "requests/claimholder.h"
#include "requests/claimholders.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {

const ClaimOptions quickOptions { .lifetime = std::chrono::seconds(20), .roundTimeout = std::chrono::seconds(1), .viewLag = std::chrono::seconds(2) };
constexpr auto stepTime = std::chrono::milliseconds(250);
constexpr std::uint32_t agentCount = 6;

// Agents that claim one key of each other over a network that loses, repeats and delays, and that restart, come and go.
class ClaimWorld {
public:
    ClaimWorld(std::uint64_t seed, bool faults)
        : m_random(seed)
        , m_faults(faults)
    {
        for (std::uint32_t server = 1; server <= agentCount; ++server) {
            m_holders.push_back(std::make_unique<ClaimHolder>(server, quickOptions, m_clock));
            m_views.push_back({ 1, 2, 3, 4 });
        }
        for (auto time = Duration::zero(); time <= quickOptions.abstention(); time += stepTime)
            step();
    }

    void step()
    {
        m_clock.advance(stepTime);
        for (std::size_t index = 0; index < agentCount; ++index)
            m_holders[index]->onView(m_views[index]);
        deliver();
        for (auto& claim : m_claims)
            decide(claim);
    }

    void act()
    {
        if (m_random.below(m_claimEvery) == 0)
            startClaim();
        if (!m_faults)
            return;
        if (m_random.below(m_restartEvery) == 0)
            restartHolder();
        if (m_random.below(m_changeEvery) == 0)
            changeMembers();
    }

    // Claims granted so close to each other that both could run, unless the first was released before.
    int conflicts() const
    {
        int count = 0;
        for (const auto& first : m_claims) {
            for (const auto& second : m_claims) {
                if (!first.granted || !second.granted || first.id.number >= second.id.number)
                    continue;
                const auto apart = *second.granted > *first.granted ? *second.granted - *first.granted : *first.granted - *second.granted;
                const auto& earlier = *second.granted > *first.granted ? first : second;
                if (!earlier.released && apart < quickOptions.lifetime - quickOptions.roundTimeout)
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
        std::vector<std::uint32_t> holders;
        ClaimRound round;
        bool decided = false;
        bool released = false;
        std::optional<MonotonicTime> granted;
    };
    struct Message {
        MonotonicTime at;
        std::function<void()> act;
    };

    void send(std::function<void()> act)
    {
        if (m_faults && m_random.below(100) < m_lossPercent)
            return;
        const auto copies = m_faults && m_random.below(4) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = m_faults ? stepTime * static_cast<int>(m_random.below(m_longestDelay)) : Duration::zero();
            m_messages.push_back({ m_clock.now() + delay, act });
        }
    }

    void deliver()
    {
        auto due = std::exchange(m_messages, {});
        for (auto& message : due) {
            if (message.at <= m_clock.now())
                message.act();
            else
                m_messages.push_back(std::move(message));
        }
    }

    void startClaim()
    {
        const auto claimant = m_random.below(agentCount);
        const auto holders = claimHolders("key", m_views[claimant]);
        const ClaimId id { .server = static_cast<std::uint32_t>(claimant + 1), .number = m_claims.size() + 1 };
        m_claims.push_back({ .id = id, .holders = holders, .round = ClaimRound(holders, quickOptions, m_clock) });
        for (const auto holder : holders)
            send([this, holder, index = m_claims.size() - 1] { ask(holder, index); });
    }

    void ask(std::uint32_t holder, std::size_t index)
    {
        const auto ballot = m_holders[holder - 1]->vote("key", m_claims[index].id);
        send([this, holder, ballot, index] { m_claims[index].round.onBallot(holder, ballot); });
    }

    void decide(Claim& claim)
    {
        const auto verdict = claim.round.verdict();
        if (claim.decided || !verdict)
            return;
        claim.decided = true;
        if (*verdict == ClaimVerdict::Granted)
            claim.granted = m_clock.now();
        // Whoever was not granted the key, or did not run its request, frees it.
        if (claim.granted && m_random.below(3) != 0)
            return;
        claim.released = true;
        for (const auto holder : claim.holders)
            send([this, holder, id = claim.id] { m_holders[holder - 1]->release("key", id); });
    }

    void restartHolder()
    {
        const auto index = m_random.below(agentCount);
        m_holders[index] = std::make_unique<ClaimHolder>(static_cast<std::uint32_t>(index + 1), quickOptions, m_clock);
    }

    void changeMembers()
    {
        const auto server = static_cast<std::uint32_t>(m_random.below(agentCount) + 1);
        if (const auto found = std::find(m_members.begin(), m_members.end(), server); found != m_members.end())
            m_members.erase(found);
        else
            m_members.push_back(server);
        // Every agent learns of it at its own time, within the view lag.
        for (std::size_t index = 0; index < agentCount; ++index) {
            const auto lag = stepTime * static_cast<int>(m_random.below(8));
            m_messages.push_back({ m_clock.now() + lag, [this, index, version = ++m_version, members = m_members] { adopt(index, version, members); } });
        }
    }

    void adopt(std::size_t index, std::uint64_t version, const std::vector<std::uint32_t>& members)
    {
        if (version < m_viewVersions[index])
            return;
        m_viewVersions[index] = version;
        m_views[index] = members;
    }

    SeededRandom m_random;
    bool m_faults;
    // Steps between two events on average, and what the network does; another mix for each seed.
    std::uint64_t m_claimEvery = 2 + m_random.below(40);
    std::uint64_t m_restartEvery = 20 + m_random.below(400);
    std::uint64_t m_changeEvery = 20 + m_random.below(400);
    std::uint64_t m_lossPercent = m_random.below(50);
    std::uint64_t m_longestDelay = 1 + m_random.below(8);
    ManualClock m_clock;
    std::vector<std::unique_ptr<ClaimHolder>> m_holders;
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
    const std::vector<std::uint32_t> holders { 1, 2, 3 };
    ClaimRound round { holders, quickOptions, clock };
};
// clang-format on

TEST(ClaimRound, NeedsAMajorityOfDifferentHolders)
{
    round.onBallot(1, { ClaimVote::Granted, 2 });
    round.onBallot(1, { ClaimVote::Granted, 2 });
    round.onBallot(9, { ClaimVote::Granted, 2 });
    CHECK_FALSE(round.verdict().has_value());
    round.onBallot(2, { ClaimVote::Granted, 2 });
    CHECK(round.verdict() == ClaimVerdict::Granted);
}

TEST(ClaimRound, LateVotesDoNotCount)
{
    round.onBallot(1, { ClaimVote::Granted, 2 });
    clock.advance(quickOptions.roundTimeout);
    round.onBallot(2, { ClaimVote::Granted, 2 });
    CHECK(round.verdict() == ClaimVerdict::NoMajority);
}

TEST(ClaimRound, OneTakenKeyIsNeverReportedAsFree)
{
    round.onBallot(1, { ClaimVote::Taken, 2 });
    round.onBallot(2, { ClaimVote::Abstained, 2 });
    CHECK(round.verdict() == ClaimVerdict::Taken);
}

TEST(ClaimRound, HoldersMayAskForALargerMajority)
{
    ClaimRound alone(std::vector<std::uint32_t> { 1 }, quickOptions, clock);
    alone.onBallot(1, { ClaimVote::Granted, 2 });
    CHECK(alone.verdict() == ClaimVerdict::NoMajority);
}

TEST(ClaimRound, GrantsWithoutFaults)
{
    ClaimWorld world(1, false);
    for (int count = 0; count < 100; ++count) {
        world.act();
        world.step();
    }
    CHECK(world.granted() > 0);
    CHECK_EQUAL(0, world.conflicts());
}

TEST(ClaimRound, GrantsAKeyOnceUnderFaults)
{
    int granted = 0;
    CHECK(rc::check("no two claims of a key are granted within its lifetime", [&](std::uint64_t seed) {
        ClaimWorld world(seed, true);
        for (int count = 0; count < 2000; ++count) {
            world.act();
            world.step();
        }
        granted += world.granted();
        RC_ASSERT(world.conflicts() == 0);
    }));
    CHECK(granted > 0);
}
