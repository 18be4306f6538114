#include "control/internal/groupjoiner.h"

#include "control/internal/peercall.h"
#include "foundation/log.h"

#include <algorithm>

namespace clementinesill::control {

namespace {

using boost::asio::awaitable;

// Interval between two rounds. A group that is electing a leader accepts no join request, so several rounds may be necessary.
constexpr auto joinInterval = std::chrono::milliseconds(500);
constexpr auto callTimeout = std::chrono::milliseconds(600);

} // namespace

GroupJoiner::GroupJoiner(boost::asio::io_context& context, const GroupJoinerOptions& options)
    : m_context(context)
    , m_options(options)
    , m_wakeup(context)
{
}

awaitable<void> GroupJoiner::run()
{
    while (!m_stopping) {
        co_await m_wakeup.wait(joinInterval);
        if (!m_stopping && m_options.log.needsToJoin())
            co_await requestJoin();
    }
}

void GroupJoiner::stop()
{
    m_stopping = true;
    m_wakeup.wake();
}

awaitable<void> GroupJoiner::requestJoin()
{
    schema::JoinRequest request;
    request.set_name(m_options.name);
    request.set_endpoint(m_options.endpoint);
    auto targets = this->joinTargets();
    // A controller that is not the leader returns the leader's endpoint, which is then asked in the same round.
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto target = targets[index];
        const auto stub = peerStub(target, m_options.credentials);
        const auto response = co_await callPeer<schema::JoinResponse>(m_context, *stub, &schema::Peers::Stub::async_interface::Join, request, callTimeout, m_stopping);
        if (m_stopping || !m_options.log.needsToJoin())
            co_return;
        if (!response)
            continue;
        if (response->accepted()) {
            log(LogLevel::Info, "join_accepted", { { .key = "leader", .value = target } });
            co_return;
        }
        const auto& leader = response->leader_endpoint();
        if (!leader.empty() && leader != m_options.endpoint && std::find(targets.begin(), targets.end(), leader) == targets.end())
            targets.push_back(leader);
    }
    log(LogLevel::Warn, "join_not_accepted", { { .key = "asked", .value = std::to_string(targets.size()) }, { .key = "reason", .value = "no controller that was reached is a leader with a valid lease" } });
}

std::vector<std::string> GroupJoiner::joinTargets() const
{
    std::vector<std::string> found;
    const auto add = [&](const std::string& endpoint) {
        if (!endpoint.empty() && endpoint != m_options.endpoint && std::find(found.begin(), found.end(), endpoint) == found.end())
            found.push_back(endpoint);
    };
    for (const auto& peer : m_options.log.peers())
        add(peer.endpoint);
    for (const auto& seed : m_options.seeds())
        add(seed);
    return found;
}

} // namespace clementinesill::control
