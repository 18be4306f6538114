#include "control/flapdamping.h"

#include "control/serverregistry.h"

#include <cmath>

namespace clementinesill::control {

namespace {

// Minimum number of undamped servers of a service for each damped one.
constexpr std::size_t minUndampedPerDamped = 2;

schema::ServerTransition transition(const schema::Server& server, schema::ServerTransition::Kind kind, const std::string& reason)
{
    schema::ServerTransition transition;
    transition.set_server_id(server.id());
    transition.set_incarnation(server.incarnation());
    transition.set_kind(kind);
    transition.set_reason(reason);
    return transition;
}

bool isUnavailable(const schema::ServerRecord& record)
{
    return record.removed() || record.silent();
}

} // namespace

FlapDamping::History& FlapDamping::updateHistory(const schema::ServerRecord& record)
{
    const auto now = m_clock.now();
    const auto& server = record.server();
    const auto [it, added] = m_histories.try_emplace(server.id());
    auto& history = it->second;
    if (added) {
        history = { .penalty = record.damped() ? m_options.suppressThreshold : 0, .updated = now, .incarnation = server.incarnation(), .unavailable = isUnavailable(record) };
        return history;
    }
    const double halvings = std::chrono::duration<double>(now - history.updated) / std::chrono::duration<double>(m_options.halfLife);
    history.penalty *= std::exp2(-halvings);
    history.updated = now;
    if (server.incarnation() > history.incarnation)
        history.penalty += server.incarnation() - history.incarnation;
    else if (history.unavailable && !isUnavailable(record))
        history.penalty += 1;
    history.incarnation = server.incarnation();
    history.unavailable = isUnavailable(record);
    return history;
}

std::vector<schema::ServerTransition> FlapDamping::dueTransitions(const ServerRegistry& servers)
{
    std::map<std::uint32_t, ServerCounts> countsByService;
    for (const auto& [id, record] : servers.records()) {
        auto& counts = countsByService[record.server().service_id()];
        counts.total += !record.removed();
        counts.damped += !record.removed() && record.damped();
    }
    std::erase_if(m_histories, [&](const auto& entry) { return !servers.find(entry.first); });
    std::vector<schema::ServerTransition> transitions;
    for (const auto& [id, record] : servers.records()) {
        const auto& history = updateHistory(record);
        if (record.removed())
            continue;
        auto& counts = countsByService[record.server().service_id()];
        if (record.damped() && history.penalty < m_options.reuseThreshold) {
            transitions.push_back(transition(record.server(), schema::ServerTransition::KIND_RELEASED, "it has been steady"));
        } else if (!record.damped() && history.penalty >= m_options.suppressThreshold && (counts.damped + 1) * (1 + minUndampedPerDamped) <= counts.total) {
            ++counts.damped;
            transitions.push_back(transition(record.server(), schema::ServerTransition::KIND_DAMPED, "it comes and goes too often"));
        }
    }
    return transitions;
}

} // namespace clementinesill::control
