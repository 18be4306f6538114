#include "agent/serverhealth.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(ServerHealth)
{
    ServerHealth health;
};
// clang-format on

TEST(ServerHealth, DetectsRestartByResponseAfterRefusal)
{
    CHECK_FALSE(health.observe(ServerProbeResult::Healthy).restarted);
    CHECK(health.observe(ServerProbeResult::Refused).shouldLowerLimit);
    CHECK_FALSE(health.observe(ServerProbeResult::TimedOut).restarted);
    CHECK(health.observe(ServerProbeResult::Healthy).restarted);
    CHECK_FALSE(health.observe(ServerProbeResult::Healthy).restarted);
}

TEST(ServerHealth, RefusedFlowCountsAsRefusedProbe)
{
    health.recordConnectionRefused();
    CHECK(health.observe(ServerProbeResult::Unhealthy).restarted);
}

TEST(ServerHealth, ToleratesTimeoutsBelowLimit)
{
    for (int probe = 1; probe < ServerHealth::timeoutsUntilUnhealthy; ++probe)
        CHECK_FALSE(health.observe(ServerProbeResult::TimedOut).shouldLowerLimit);
    CHECK(health.observe(ServerProbeResult::TimedOut).shouldLowerLimit);
    CHECK_FALSE(health.healthy());
    CHECK_FALSE(health.observe(ServerProbeResult::Healthy).shouldLowerLimit);
}

TEST(ServerHealth, ErrorResponseLowersLimitImmediately)
{
    CHECK(health.observe(ServerProbeResult::Unhealthy).shouldLowerLimit);
    CHECK_FALSE(health.healthy());
}

TEST(ServerHealth, TimeoutAfterRefusalStaysUnhealthy)
{
    health.observe(ServerProbeResult::Refused);
    CHECK(health.observe(ServerProbeResult::TimedOut).shouldLowerLimit);
}
