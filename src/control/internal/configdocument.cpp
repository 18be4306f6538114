#include "control/configdocument.h"

#include <google/protobuf/util/message_differencer.h>

namespace clementinesill::control {

std::set<std::string> ConfigDocument::replace(const schema::DocumentChange& change, std::span<const std::uint32_t> serviceIds)
{
    std::map<std::string, schema::Route> newRoutes;
    for (const auto& route : change.routes()) {
        auto& record = newRoutes[route.endpoint()] = route;
        for (auto& target : *record.mutable_targets())
            target.set_service_id(serviceIds[target.service_id()]);
    }
    std::set<std::string> changed;
    for (const auto& [endpoint, route] : m_routes) {
        if (!newRoutes.contains(endpoint))
            changed.insert(endpoint);
    }
    for (const auto& [endpoint, route] : newRoutes) {
        const auto current = m_routes.find(endpoint);
        if (current == m_routes.end() || !google::protobuf::util::MessageDifferencer::Equals(current->second, route))
            changed.insert(endpoint);
    }
    m_routes = std::move(newRoutes);
    m_version = change.version();
    m_text = change.text();
    return changed;
}

void ConfigDocument::save(schema::FleetSnapshot& snapshot) const
{
    if (m_version)
        snapshot.set_document_version(*m_version);
    snapshot.set_document_text(m_text);
    for (const auto& [endpoint, route] : m_routes)
        *snapshot.add_routes() = route;
}

void ConfigDocument::restore(const schema::FleetSnapshot& snapshot)
{
    m_version.reset();
    if (snapshot.has_document_version())
        m_version = snapshot.document_version();
    m_text = snapshot.document_text();
    m_routes.clear();
    for (const auto& route : snapshot.routes())
        m_routes[route.endpoint()] = route;
}

} // namespace clementinesill::control
