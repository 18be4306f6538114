#include "control/flapdamping.h"

#include "control/serverregistry.h"

#include <cmath>

namespace clementinesill::control {

namespace {

// A service keeps this many undamped servers for each damped one.
constexpr std::size_t undampedForEachDamped = 2;

schema::ServerTransition transition(const schema::Server& server, schema::ServerTransition::Kind kind, const std::string& reason)
{
    schema::ServerTransition transition;
    transition.set_server_id(server.id());
    transition.set_incarnation(server.incarnation());
    transition.set_kind(kind);
    transition.set_reason(reason);
    return transition;
}

bool isAway(const schema::ServerRecord& record)
{
    return record.removed() || record.silent();
}

} // namespace

FlapDamping::History& FlapDamping::update(const schema::ServerRecord& record)
{
    const auto now = m_clock.now();
    const auto& server = record.server();
    const auto [place, added] = m_histories.try_emplace(server.id());
    auto& history = place->second;
    if (added) {
        history = { .penalty = record.damped() ? m_options.suppressAt : 0, .updated = now, .incarnation = server.incarnation(), .away = isAway(record) };
        return history;
    }
    const double halvings = std::chrono::duration<double>(now - history.updated) / std::chrono::duration<double>(m_options.halfLife);
    history.penalty *= std::exp2(-halvings);
    history.updated = now;
    if (server.incarnation() > history.incarnation)
        history.penalty += server.incarnation() - history.incarnation;
    else if (history.away && !isAway(record))
        history.penalty += 1;
    history.incarnation = server.incarnation();
    history.away = isAway(record);
    return history;
}

std::vector<schema::ServerTransition> FlapDamping::due(const ServerRegistry& servers)
{
    std::map<std::uint32_t, Share> shares;
    for (const auto& [id, record] : servers.records()) {
        auto& share = shares[record.server().service_id()];
        share.live += !record.removed();
        share.damped += !record.removed() && record.damped();
    }
    std::erase_if(m_histories, [&](const auto& entry) { return !servers.find(entry.first); });
    std::vector<schema::ServerTransition> due;
    for (const auto& [id, record] : servers.records()) {
        const auto& history = update(record);
        if (record.removed())
            continue;
        auto& share = shares[record.server().service_id()];
        if (record.damped() && history.penalty < m_options.releaseBelow) {
            due.push_back(transition(record.server(), schema::ServerTransition::KIND_RELEASED, "it has been steady"));
        } else if (!record.damped() && history.penalty >= m_options.suppressAt && (share.damped + 1) * (1 + undampedForEachDamped) <= share.live) {
            ++share.damped;
            due.push_back(transition(record.server(), schema::ServerTransition::KIND_DAMPED, "it comes and goes too often"));
        }
    }
    return due;
}

} // namespace clementinesill::control
