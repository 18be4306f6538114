#include "agent/serverhealth.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(ServerHealth)
{
    ServerHealth health;
};
// clang-format on

TEST(ServerHealth, ARefusalFollowedByAnAnswerIsARestart)
{
    CHECK_FALSE(health.observe(ServerProbe::Healthy).restarted);
    CHECK(health.observe(ServerProbe::Refused).lower);
    CHECK_FALSE(health.observe(ServerProbe::TimedOut).restarted);
    CHECK(health.observe(ServerProbe::Healthy).restarted);
    CHECK_FALSE(health.observe(ServerProbe::Healthy).restarted);
}

TEST(ServerHealth, ARefusedFlowCountsLikeARefusedProbe)
{
    health.noteRefused();
    CHECK(health.observe(ServerProbe::Unhealthy).restarted);
}

TEST(ServerHealth, OneLostProbeChangesNothing)
{
    for (int probe = 1; probe < ServerHealth::timeoutsUntilUnhealthy; ++probe)
        CHECK_FALSE(health.observe(ServerProbe::TimedOut).lower);
    CHECK(health.observe(ServerProbe::TimedOut).lower);
    CHECK_FALSE(health.healthy());
    CHECK_FALSE(health.observe(ServerProbe::Healthy).lower);
}

TEST(ServerHealth, AnAnswerOtherThanSuccessLowersAtOnce)
{
    CHECK(health.observe(ServerProbe::Unhealthy).lower);
    CHECK_FALSE(health.healthy());
}

TEST(ServerHealth, ATimeoutDoesNotHealARefusal)
{
    health.observe(ServerProbe::Refused);
    CHECK(health.observe(ServerProbe::TimedOut).lower);
}
