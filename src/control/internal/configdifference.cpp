#include "control/internal/configdifference.h"

namespace clementinesill::control {

namespace {

// What a record means that does not say.
constexpr std::uint32_t defaultIdleTimeoutSeconds = 3600;
constexpr std::uint32_t defaultRequestTimeoutMs = 30000;

} // namespace

std::string firstDifference(std::span<const schema::ConfigFile> held, const google::protobuf::RepeatedPtrField<schema::ConfigFile>& sent)
{
    std::map<std::string, std::pair<const std::string*, const std::string*>> contents;
    for (const auto& file : held)
        contents[file.name()].first = &file.content();
    for (const auto& file : sent)
        contents[file.name()].second = &file.content();
    for (const auto& [name, pair] : contents) {
        if (!pair.first || !pair.second || *pair.first != *pair.second)
            return name;
    }
    return "the configuration";
}

schema::Service serviceOf(const schema::ServiceRecord& record)
{
    schema::Service service;
    service.set_name(record.name());
    service.set_address(record.address());
    service.set_port(record.port());
    service.set_protocol(record.protocol() == "udp" ? schema::PROTOCOL_UDP : schema::PROTOCOL_TCP);
    service.set_mode(record.mode() == "http" ? schema::SERVICE_MODE_HTTP : schema::SERVICE_MODE_STREAM);
    service.set_proxy_protocol(record.proxy_protocol());
    service.set_idle_timeout_seconds(record.idle_timeout_seconds() ? record.idle_timeout_seconds() : defaultIdleTimeoutSeconds);
    service.set_request_timeout_ms(record.request_timeout_ms() ? record.request_timeout_ms() : defaultRequestTimeoutMs);
    return service;
}

std::map<std::string, schema::ZoneState> zoneStates(const schema::OperatorFile& merged)
{
    std::map<std::string, schema::ZoneState> states;
    for (const auto& zone : merged.zones())
        states[zone.name()] = zone.state() == "out" ? schema::ZONE_STATE_OUT : schema::ZONE_STATE_IN;
    return states;
}

} // namespace clementinesill::control
