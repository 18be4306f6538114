#include "operators/foldermerge.h"

#include "foundation/types/endpoint.h"
#include "operators/configerror.h"
#include "operators/internal/recordset.h"
#include "operators/internal/valuecheck.h"
#include "settings.pb.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

namespace clementinesill::operators {

namespace {

constexpr std::uint32_t defaultIdleTimeoutSeconds = 3600;
constexpr std::uint32_t defaultRequestTimeoutMs = 30'000;
constexpr std::uint32_t maximumIdleTimeoutSeconds = 604'800;
constexpr std::uint32_t maximumRequestTimeoutMs = 3'600'000;
constexpr std::uint32_t maximumPort = 65'535;

constexpr std::array<NamedValue<schema::Protocol>, 2> protocols { {
    { "tcp", schema::PROTOCOL_TCP },
    { "udp", schema::PROTOCOL_UDP },
} };

constexpr std::array<NamedValue<schema::ServiceMode>, 2> modes { {
    { "stream", schema::SERVICE_MODE_STREAM },
    { "http", schema::SERVICE_MODE_HTTP },
} };

constexpr std::array<NamedValue<schema::ZoneState>, 2> zoneStates { {
    { "in", schema::ZONE_STATE_IN },
    { "out", schema::ZONE_STATE_OUT },
} };

using ServiceSource = MergedRecord<schema::ServiceRecord>;
using ZoneSource = MergedRecord<schema::ZoneRecord>;

std::uint32_t serviceAddress(const ServiceSource& source)
{
    constexpr std::uint32_t firstMulticast = 0xe0000000;
    std::uint32_t address = 0;
    try {
        address = parseAddress(source.record.address());
    } catch (const Error& error) {
        source.fail(addressFault(error), "address", error.problem(), error.remedy());
    }
    if (!address || address >= firstMulticast)
        source.fail(ConfigFault::BadAddress, "address", "'" + source.record.address() + "' is no address of a service", "use a unicast IPv4 address");
    return address;
}

void checkModeKeys(const ServiceSource& source, const schema::Service& service)
{
    const bool tcp = service.protocol() == schema::PROTOCOL_TCP;
    const bool http = service.mode() == schema::SERVICE_MODE_HTTP;
    if (http && !tcp)
        source.fail(ConfigFault::KeyNotApplicable, "mode", "mode http needs protocol tcp", "write \"stream\" or change the protocol");
    if (source.record.proxy_protocol() && (http || !tcp))
        source.fail(ConfigFault::KeyNotApplicable, "proxyProtocol", "applies to mode stream over tcp only", "remove it");
    if (source.given("requestTimeoutMs") && !http)
        source.fail(ConfigFault::KeyNotApplicable, "requestTimeoutMs", "applies to mode http only", "remove it or use idleTimeoutSeconds");
}

schema::Service buildService(const ServiceSource& source)
{
    const auto& record = source.record;
    schema::Service service;
    service.set_name(record.name());
    for (const auto* key : { "address", "port", "mode" })
        source.require(key);
    service.set_address(formatAddress(serviceAddress(source)));
    service.set_port(source.inRange("port", record.port(), 1, maximumPort));
    service.set_protocol(source.given("protocol") ? source.oneOf<schema::Protocol>("protocol", record.protocol(), protocols) : schema::PROTOCOL_TCP);
    service.set_mode(source.oneOf<schema::ServiceMode>("mode", record.mode(), modes));
    checkModeKeys(source, service);
    service.set_proxy_protocol(record.proxy_protocol());
    service.set_idle_timeout_seconds(defaultIdleTimeoutSeconds);
    if (source.given("idleTimeoutSeconds"))
        service.set_idle_timeout_seconds(source.inRange("idleTimeoutSeconds", record.idle_timeout_seconds(), 1, maximumIdleTimeoutSeconds));
    if (service.mode() == schema::SERVICE_MODE_HTTP)
        service.set_request_timeout_ms(defaultRequestTimeoutMs);
    if (source.given("requestTimeoutMs"))
        service.set_request_timeout_ms(source.inRange("requestTimeoutMs", record.request_timeout_ms(), 1, maximumRequestTimeoutMs));
    return service;
}

schema::Zone buildZone(const ZoneSource& source)
{
    schema::Zone zone;
    zone.set_name(source.record.name());
    if (source.given("state"))
        zone.set_state(source.oneOf<schema::ZoneState>("state", source.record.state(), zoneStates));
    return zone;
}

std::vector<const ConfigFile*> inNameOrder(std::span<const ConfigFile> files)
{
    std::vector<const ConfigFile*> ordered;
    for (const auto& file : files)
        ordered.push_back(&file);
    std::ranges::sort(ordered, {}, &ConfigFile::name);
    for (std::size_t index = 1; index < ordered.size(); ++index) {
        if (ordered[index]->name == ordered[index - 1]->name)
            throw ConfigError(ErrorKind::InvalidConfiguration, ConfigFault::DuplicateRecord, { .file = ordered[index]->name }, "two files have this name", "rename one of the two");
    }
    return ordered;
}

// Two services must not share address, port and protocol: a packet would not tell which one it is for.
void checkSharedAddresses(const RecordSet<schema::ServiceRecord>& sources, const std::vector<schema::Service>& services)
{
    std::map<std::tuple<std::string, std::uint32_t, int>, std::string> owners;
    for (const auto& service : services) {
        const auto [owner, added] = owners.try_emplace({ service.address(), service.port(), service.protocol() }, service.name());
        if (!added)
            sources.records().at(service.name()).fail(ConfigFault::SharedAddress, "address", "service '" + service.name() + "' has the address, port and protocol of service '" + owner->second + "'", "give one of the two another address or port");
    }
}

} // namespace

FleetConfig mergeOperatorFolder(std::span<const ConfigFile> files)
{
    RecordSet<schema::ServiceRecord> services("services");
    RecordSet<schema::ZoneRecord> zones("zones");
    for (const auto* file : inNameOrder(files)) {
        checkFileName(file->name);
        SchemaReader reader(file->name, ErrorKind::InvalidConfiguration);
        schema::OperatorFile content;
        reader.read(file->content, content);
        services.add(reader, content.services());
        zones.add(reader, content.zones());
    }
    FleetConfig config;
    for (const auto& [name, source] : services.records())
        config.services.push_back(buildService(source));
    for (const auto& [name, source] : zones.records())
        config.zones.push_back(buildZone(source));
    checkSharedAddresses(services, config.services);
    return config;
}

} // namespace clementinesill::operators
