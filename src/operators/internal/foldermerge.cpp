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

using MergedService = MergedRecord<schema::ServiceRecord>;
using MergedZone = MergedRecord<schema::ZoneRecord>;

std::uint32_t serviceAddress(const MergedService& merged)
{
    constexpr std::uint32_t firstMulticastAddress = 0xe0000000;
    std::uint32_t address = 0;
    try {
        address = parseAddress(merged.record.address());
    } catch (const Error& error) {
        merged.fail(addressFault(error), "address", error.problem(), error.remedy());
    }
    if (!address || address >= firstMulticastAddress)
        merged.fail(ConfigFault::BadAddress, "address", "'" + merged.record.address() + "' is not a valid service address", "use a unicast IPv4 address");
    return address;
}

void checkModeKeys(const MergedService& merged, const schema::Service& service)
{
    const bool tcp = service.protocol() == schema::PROTOCOL_TCP;
    const bool http = service.mode() == schema::SERVICE_MODE_HTTP;
    if (http && !tcp)
        merged.fail(ConfigFault::KeyNotApplicable, "mode", "mode http needs protocol tcp", "write \"stream\" or change the protocol");
    if (merged.record.proxy_protocol() && (http || !tcp))
        merged.fail(ConfigFault::KeyNotApplicable, "proxyProtocol", "applies to mode stream over tcp only", "remove it");
    if (merged.hasKey("requestTimeoutMs") && !http)
        merged.fail(ConfigFault::KeyNotApplicable, "requestTimeoutMs", "applies to mode http only", "remove it or use idleTimeoutSeconds");
}

schema::Service buildService(const MergedService& merged)
{
    const auto& record = merged.record;
    schema::Service service;
    service.set_name(record.name());
    for (const auto* key : { "address", "port", "mode" })
        merged.require(key);
    service.set_address(formatAddress(serviceAddress(merged)));
    service.set_port(merged.requireInRange("port", record.port(), 1, maximumPort));
    service.set_protocol(merged.hasKey("protocol") ? merged.requireOneOf<schema::Protocol>("protocol", record.protocol(), protocols) : schema::PROTOCOL_TCP);
    service.set_mode(merged.requireOneOf<schema::ServiceMode>("mode", record.mode(), modes));
    checkModeKeys(merged, service);
    service.set_proxy_protocol(record.proxy_protocol());
    service.set_idle_timeout_seconds(defaultIdleTimeoutSeconds);
    if (merged.hasKey("idleTimeoutSeconds"))
        service.set_idle_timeout_seconds(merged.requireInRange("idleTimeoutSeconds", record.idle_timeout_seconds(), 1, maximumIdleTimeoutSeconds));
    if (service.mode() == schema::SERVICE_MODE_HTTP)
        service.set_request_timeout_ms(defaultRequestTimeoutMs);
    if (merged.hasKey("requestTimeoutMs"))
        service.set_request_timeout_ms(merged.requireInRange("requestTimeoutMs", record.request_timeout_ms(), 1, maximumRequestTimeoutMs));
    return service;
}

schema::Zone buildZone(const MergedZone& merged)
{
    schema::Zone zone;
    zone.set_name(merged.record.name());
    if (merged.hasKey("state"))
        zone.set_state(merged.requireOneOf<schema::ZoneState>("state", merged.record.state(), zoneStates));
    return zone;
}

std::vector<const ConfigFile*> sortedByName(std::span<const ConfigFile> files)
{
    std::vector<const ConfigFile*> sorted;
    for (const auto& file : files)
        sorted.push_back(&file);
    std::ranges::sort(sorted, {}, &ConfigFile::name);
    for (std::size_t index = 1; index < sorted.size(); ++index) {
        if (sorted[index]->name == sorted[index - 1]->name)
            throw ConfigError(ErrorKind::InvalidConfiguration, ConfigFault::DuplicateRecord, { .file = sorted[index]->name }, "more than one file has this name", "rename one of them");
    }
    return sorted;
}

// Rejects services with the same address, port and protocol, since a packet could not be assigned to one of them.
void checkSharedAddresses(const RecordSet<schema::ServiceRecord>& mergedServices, const std::vector<schema::Service>& services)
{
    std::map<std::tuple<std::string, std::uint32_t, int>, std::string> servicesByAddress;
    for (const auto& service : services) {
        const auto [existing, inserted] = servicesByAddress.try_emplace({ service.address(), service.port(), service.protocol() }, service.name());
        if (!inserted)
            mergedServices.records().at(service.name()).fail(ConfigFault::SharedAddress, "address", "service '" + service.name() + "' has the same address, port and protocol as service '" + existing->second + "'", "give one of them another address or port");
    }
}

} // namespace

FleetConfig mergeOperatorFolder(std::span<const ConfigFile> files)
{
    RecordSet<schema::ServiceRecord> services("services");
    RecordSet<schema::ZoneRecord> zones("zones");
    for (const auto* file : sortedByName(files)) {
        checkFileName(file->name);
        SchemaReader reader(file->name, ErrorKind::InvalidConfiguration);
        schema::OperatorFile content;
        reader.read(file->content, content);
        services.add(reader, content.services());
        zones.add(reader, content.zones());
    }
    FleetConfig config;
    for (const auto& [name, merged] : services.records())
        config.services.push_back(buildService(merged));
    for (const auto& [name, merged] : zones.records())
        config.zones.push_back(buildZone(merged));
    checkSharedAddresses(services, config.services);
    return config;
}

} // namespace clementinesill::operators
