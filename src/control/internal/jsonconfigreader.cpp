#include "control/internal/jsonconfigreader.h"

#include "control.pb.h"
#include "foundation/error.h"
#include "foundation/types/endpoint.h"
#include "settings.pb.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace clementinesill::control {

namespace {

schema::OperatorFile parse(const schema::ConfigFile& file)
{
    schema::OperatorFile parsed;
    try {
        const auto json = nlohmann::json::parse(file.content(), nullptr, true, true);
        const auto status = google::protobuf::util::JsonStringToMessage(json.dump(), &parsed);
        if (!status.ok())
            throw Error(ErrorKind::InvalidConfiguration, file.name() + ": " + status.ToString(), "correct the key");
    } catch (const nlohmann::json::exception& error) {
        throw Error(ErrorKind::InvalidConfiguration, file.name() + ": " + error.what(), "correct the JSON");
    }
    return parsed;
}

void checkService(const std::string& file, const schema::ServiceRecord& service)
{
    const auto fail = [&](const std::string& problem, const std::string& remedy) {
        throw Error(ErrorKind::InvalidConfiguration, file + ": service '" + service.name() + "' " + problem, remedy);
    };
    if (service.name().empty())
        fail("has no name", "set 'name'");
    if (service.port() < 1 || service.port() > 65535)
        fail("has port " + std::to_string(service.port()), "use a number from 1 to 65535");
    if (service.protocol() != "tcp" && service.protocol() != "udp")
        fail("has protocol '" + service.protocol() + "'", "use \"tcp\" or \"udp\"");
    if (service.mode() != "http" && service.mode() != "stream")
        fail("has mode '" + service.mode() + "'", "use \"http\" or \"stream\"");
    try {
        parseAddress(service.address());
    } catch (const Error& error) {
        fail("has a wrong address: " + error.problem(), error.remedy());
    }
}

void checkZone(const std::string& file, const schema::ZoneRecord& zone)
{
    if (zone.name().empty())
        throw Error(ErrorKind::InvalidConfiguration, file + ": a zone has no name", "set 'name'");
    if (!zone.state().empty() && zone.state() != "in" && zone.state() != "out")
        throw Error(ErrorKind::InvalidConfiguration, file + ": zone '" + zone.name() + "' has state '" + zone.state() + "'", "use \"in\" or \"out\"");
}

} // namespace

schema::OperatorFile JsonConfigReader::read(std::span<const schema::ConfigFile> files) const
{
    std::vector<const schema::ConfigFile*> ordered;
    for (const auto& file : files)
        ordered.push_back(&file);
    std::sort(ordered.begin(), ordered.end(), [](const auto* left, const auto* right) { return left->name() < right->name(); });
    std::map<std::string, schema::ServiceRecord> services;
    std::map<std::string, schema::ZoneRecord> zones;
    for (const auto* file : ordered) {
        const auto parsed = parse(*file);
        for (const auto& service : parsed.services())
            services[service.name()].MergeFrom(service);
        for (const auto& zone : parsed.zones())
            zones[zone.name()].MergeFrom(zone);
    }
    schema::OperatorFile merged;
    for (const auto& [name, service] : services) {
        checkService("merged files", service);
        *merged.add_services() = service;
    }
    for (const auto& [name, zone] : zones) {
        checkZone("merged files", zone);
        *merged.add_zones() = zone;
    }
    return merged;
}

} // namespace clementinesill::control
