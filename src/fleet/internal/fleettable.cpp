#include "fleet/fleettable.h"

#include "fleet.pb.h"
#include "foundation/error.h"
#include "foundation/log.h"

#include <algorithm>

namespace clementinesill::fleet {

namespace {

std::uint64_t endpointKey(const Endpoint& endpoint, TransportProtocol protocol)
{
    return (static_cast<std::uint64_t>(endpoint.address) << 32) | (static_cast<std::uint64_t>(endpoint.port) << 16) | static_cast<std::uint64_t>(protocol);
}

RequestKind requestKind(schema::RequestKind kind)
{
    switch (kind) {
    case schema::REQUEST_KIND_UNSAFE:
        return RequestKind::Unsafe;
    case schema::REQUEST_KIND_DOWNLOAD:
        return RequestKind::Download;
    default:
        return RequestKind::Idempotent;
    }
}

RouteEntry routeEntry(const schema::Route& record)
{
    RouteEntry entry {
        .endpoint = parseEndpoint(record.endpoint()),
        .name = record.name(),
        .targets = {},
        .kind = requestKind(record.kind()),
        .timeout = std::chrono::milliseconds(record.timeout_ms()),
        .targetLatency = std::chrono::milliseconds(record.target_latency_ms()),
        .priority = record.priority(),
    };
    for (const auto& target : record.targets())
        entry.targets.push_back({ .serviceId = target.service_id(), .weight = target.weight() });
    return entry;
}

ServiceEntry serviceEntry(const schema::Service& record)
{
    return {
        .id = record.id(),
        .name = record.name(),
        .endpoint = { .address = record.address().empty() ? 0 : parseAddress(record.address()), .port = static_cast<std::uint16_t>(record.port()) },
        .protocol = record.protocol() == schema::PROTOCOL_UDP ? TransportProtocol::Udp : TransportProtocol::Tcp,
        .mode = record.mode() == schema::SERVICE_MODE_HTTP ? ServiceMode::Http : ServiceMode::Stream,
        .proxyProtocol = record.proxy_protocol(),
        .idleTimeout = std::chrono::seconds(record.idle_timeout_seconds()),
        .requestTimeout = std::chrono::milliseconds(record.request_timeout_ms()),
        .coldFlowsPerSecond = record.cold_flows_per_second(),
        .retired = record.retired(),
        .healthPath = record.health_path(),
        .servers = {},
    };
}

// Adds each record; logs those that are invalid, so that one of them does not cost the others.
template <typename Records, typename Add>
void addValidRecords(const Records& records, const char* kind, Add add)
{
    for (const auto& record : records) {
        try {
            add(record);
        } catch (const Error& error) {
            log(LogLevel::Error, "table_record_ignored", { { .key = "kind", .value = kind }, { .key = "name", .value = record.name() }, { .key = logkey::reason, .value = error.problem() } });
        }
    }
}

} // namespace

FleetTable::FleetTable(const schema::Table& table)
    : m_version(table.version())
    , m_hashSeed(table.hash_seed())
    , m_documentVersion(table.has_document_version() ? std::optional(table.document_version()) : std::nullopt)
{
    for (const auto& zone : table.zones())
        m_zoneIsOut[zone.name()] = zone.state() == schema::ZONE_STATE_OUT;
    addValidRecords(table.services(), "service", [this](const auto& record) { addService(record); });
    addValidRecords(table.routes(), "route", [this](const auto& record) { addRoute(record); });
    addValidRecords(table.servers(), "server", [this](const auto& record) { addServer(record); });
    indexServers();
}

void FleetTable::addService(const schema::Service& record)
{
    auto entry = serviceEntry(record);
    m_byId[record.id()] = m_services.size();
    if (!record.address().empty() && !record.retired())
        m_byEndpoint[endpointKey(entry.endpoint, entry.protocol)] = m_services.size();
    m_services.push_back(std::move(entry));
}

void FleetTable::addRoute(const schema::Route& record)
{
    auto entry = routeEntry(record);
    m_routes[entry.endpoint] = std::move(entry);
}

void FleetTable::addServer(const schema::Server& record)
{
    const auto found = m_byId.find(record.service_id());
    if (found == m_byId.end())
        throw Error(ErrorKind::Malformed, "server " + std::to_string(record.id()) + " belongs to no service of the table", "report this as a bug");
    m_services[found->second].servers.push_back({
        .id = record.id(),
        .incarnation = record.incarnation(),
        .serviceId = record.service_id(),
        .agent = parseEndpoint(record.agent_endpoint()),
        .weight = std::max(1U, record.weight()),
        .slots = record.slots(),
        .draining = record.state() == schema::SERVER_STATE_DRAINING,
        .silent = record.state() == schema::SERVER_STATE_SILENT,
        .zoneOut = zoneOut(record.zone()),
        .zone = record.zone(),
        .name = record.name(),
    });
    m_newestServerId = std::max(m_newestServerId, record.id());
    m_hasSilentServer = m_hasSilentServer || record.state() == schema::SERVER_STATE_SILENT;
}

void FleetTable::indexServers()
{
    for (std::size_t index = 0; index < m_services.size(); ++index) {
        auto& servers = m_services[index].servers;
        std::sort(servers.begin(), servers.end(), [](const auto& left, const auto& right) { return left.id < right.id; });
        for (std::size_t position = 0; position < servers.size(); ++position)
            m_servers[servers[position].id] = { index, position };
    }
}

const ServiceEntry* FleetTable::service(const Endpoint& endpoint, TransportProtocol protocol) const
{
    const auto found = m_byEndpoint.find(endpointKey(endpoint, protocol));
    return found == m_byEndpoint.end() ? nullptr : &m_services[found->second];
}

const ServiceEntry* FleetTable::service(std::uint32_t id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &m_services[found->second];
}

const RouteEntry* FleetTable::route(const Endpoint& endpoint) const
{
    const auto found = m_routes.find(endpoint);
    return found == m_routes.end() ? nullptr : &found->second;
}

const ServiceEntry* FleetTable::service(const std::string& name) const
{
    const auto found = std::find_if(m_services.begin(), m_services.end(), [&](const auto& entry) { return entry.name == name; });
    return found == m_services.end() ? nullptr : &*found;
}

const ServerEntry* FleetTable::server(std::uint32_t id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &m_services[found->second.first].servers[found->second.second];
}

bool FleetTable::zoneOut(const std::string& zone) const
{
    const auto found = m_zoneIsOut.find(zone);
    return found != m_zoneIsOut.end() && found->second;
}

} // namespace clementinesill::fleet
