#include "control/internal/discoveredgroupoptions.h"

#include "control/types/replicatedlogoptions.h"

#include <algorithm>
#include <utility>

namespace clementinesill::control {

namespace {

// Five members tolerate the simultaneous loss of two, including their disks.
constexpr int discoveredMaxMembers = 5;
// The successor of a member that is going to be removed votes before that.
constexpr int discoveredSpareMembers = 1;

// After a restart of all VMs there is no service until a leader is elected, so a discovered group uses shorter election
// timeouts than a group that the settings list. In such a deployment a round trip between zones takes 3 ms and a disk sync
// 1 ms.
constexpr auto discoveredHeartbeatInterval = std::chrono::milliseconds(100);
constexpr auto discoveredMinElectionTimeout = std::chrono::milliseconds(350);
constexpr auto discoveredMaxElectionTimeout = std::chrono::milliseconds(700);
constexpr auto discoveredLeaseDuration = std::chrono::milliseconds(280);
// VMs are replaced by others at new endpoints, and a replaced one no longer counts as lost 4 s after its successor has started:
// by then the successor votes in its place, also if the leader changes once. A process that is restarted is back sooner.
constexpr auto discoveredMemberAbsenceTimeout = std::chrono::milliseconds(1500);
// VMs that are stopped, killed or frozen are back within some seconds.
constexpr auto discoveredMemberReturnTimeout = std::chrono::seconds(12);

} // namespace

void setDiscoveredGroupOptions(ReplicatedLogOptions& options, bool firstStart, std::vector<std::string> seeds)
{
    options.name = options.endpoint;
    options.maxMembers = discoveredMaxMembers;
    options.spareMembers = discoveredSpareMembers;
    options.heartbeatInterval = discoveredHeartbeatInterval;
    options.minElectionTimeout = discoveredMinElectionTimeout;
    options.maxElectionTimeout = discoveredMaxElectionTimeout;
    options.leaseDuration = discoveredLeaseDuration;
    options.memberAbsenceTimeout = discoveredMemberAbsenceTimeout;
    options.memberReturnTimeout = discoveredMemberReturnTimeout;
    std::sort(seeds.begin(), seeds.end());
    options.mayBootstrap = firstStart && std::binary_search(seeds.begin(), seeds.end(), options.endpoint);
    if (!options.mayBootstrap)
        return;
    for (const auto& seed : seeds)
        options.peers.push_back({ .name = seed, .endpoint = seed });
}

} // namespace clementinesill::control
