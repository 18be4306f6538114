#include "passthrough/internal/serverregistrar.h"

#include "foundation/seededrandom.h"
#include "passthrough/tests/fakefleet.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(ServerRegistrar)
{
    FakeFleet fleet;
    ServerRegistrar registrar { fleet, "127.0.0.1:8172", [](const auto&) {}, [] {} };

    void teardown() override { registrar.stop(); }

    static ServerHeartbeat heartbeat(std::uint64_t startedAtMs)
    {
        return { .name = "server-1", .service = "desk", .zone = "mandaue", .slots = 8, .sequence = 1, .startedAtMs = startedAtMs };
    }
};
// clang-format on

// Guards against a server that is never registered again because a delayed heartbeat of an earlier instance had replaced it.
TEST(ServerRegistrar, VerifiedInstanceThatWasReplacedGetsAnotherBootId)
{
    registrar.setServer(heartbeat(100), { .restarted = true });
    CHECK(fleet.waitForAnnouncements(1));
    {
        const std::lock_guard lock(fleet.mutex);
        fleet.replacedBootIds.insert(fleet.announcedBootIds.front());
    }
    registrar.setServer(heartbeat(100), { .restarted = true, .verified = true });
    CHECK(fleet.waitForAnnouncements(3));
    const std::lock_guard lock(fleet.mutex);
    CHECK(fleet.announcedBootIds[1] == fleet.announcedBootIds[0]);
    CHECK(fleet.announcedBootIds[2] != fleet.announcedBootIds[0]);
}

// Guards against a delayed heartbeat that registers an instance which the controllers know to be replaced.
TEST(ServerRegistrar, InstanceThatIsNotVerifiedKeepsItsBootId)
{
    registrar.setServer(heartbeat(100), { .restarted = true });
    CHECK(fleet.waitForAnnouncements(1));
    {
        const std::lock_guard lock(fleet.mutex);
        fleet.replacedBootIds.insert(fleet.announcedBootIds.front());
    }
    registrar.setServer(heartbeat(100), { .restarted = true });
    // The second attempt is made after the renewal interval.
    CHECK(fleet.waitForAnnouncements(3));
    const std::lock_guard lock(fleet.mutex);
    CHECK(fleet.announcedBootIds[2] == fleet.announcedBootIds[0]);
}

// Guards against a server that stays drained at the controllers: an instance with the name and the start time of the one that
// drained has its boot id, and only a new one ends a drain.
TEST(ServerRegistrar, InstanceThatEndsDrainGetsAnotherBootId)
{
    auto draining = heartbeat(100);
    draining.draining = true;
    registrar.setServer(draining, { .restarted = true });
    CHECK(fleet.waitForAnnouncements(1));
    registrar.setServer(heartbeat(100), { .restarted = true, .verified = true, .endsDrain = true });
    CHECK(fleet.waitForAnnouncements(2));
    const std::lock_guard lock(fleet.mutex);
    CHECK(fleet.announcedBootIds[1] != fleet.announcedBootIds[0]);
}

// Guards against a registration that cannot succeed and delays that of the server that runs until its lease has expired (review/7).
TEST(ServerRegistrar, RunningServerIsRegisteredWithinItsLeaseAfterInstancesThatNoControllerAccepts)
{
    constexpr std::chrono::seconds lease { 3 };
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        SeededRandom random(seed);
        const auto unavailableInstances = 1 + random.below(4);
        for (std::uint64_t instance = 0; instance < unavailableInstances; ++instance) {
            auto other = heartbeat(1000 * seed + instance);
            other.name = "other-" + std::to_string(1000 * seed + instance);
            {
                const std::lock_guard lock(fleet.mutex);
                fleet.unavailableNames.insert(other.name);
            }
            registrar.setServer(other, { .restarted = true });
            if (random.below(2))
                std::this_thread::sleep_for(std::chrono::milliseconds(random.below(200)));
        }
        auto running = heartbeat(seed);
        running.name = "server-" + std::to_string(seed);
        registrar.setServer(running, { .restarted = true });
        CHECK_TEXT(fleet.waitForAnnouncement(running.name, lease), ("seed " + std::to_string(seed)).c_str());
    }
}
