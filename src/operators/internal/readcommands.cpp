#include "operators/internal/readcommands.h"

#include "control.pb.h"
#include "operators/controllerclient.h"
#include "operators/internal/invocation.h"
#include "operators/internal/printer.h"
#include "operators/internal/texttable.h"
#include "operators/internal/timetext.h"

#include <map>

namespace clementinesill::operators {

namespace {

std::string roleName(schema::Role role)
{
    switch (role) {
    case schema::ROLE_BALANCER:
        return "balancer";
    case schema::ROLE_AGENT:
        return "agent";
    case schema::ROLE_CONTROLLER:
        return "controller";
    default:
        return "unknown";
    }
}

std::string stateName(schema::ServerState state)
{
    switch (state) {
    case schema::SERVER_STATE_ACTIVE:
        return "active";
    case schema::SERVER_STATE_DRAINING:
        return "draining";
    case schema::SERVER_STATE_SILENT:
        return "silent";
    default:
        return "unknown";
    }
}

std::string zoneTable(const schema::StatusResponse& status)
{
    TextTable table({ "ZONE", "STATE" });
    for (const auto& zone : status.zones())
        table.add({ zone.name(), zone.state() == schema::ZONE_STATE_OUT ? "out" : "in" });
    return table.render();
}

std::string controllerTable(const schema::StatusResponse& status)
{
    TextTable table({ "CONTROLLER", "ENDPOINT", "ROLE", "TERM", "COMMITTED", "LAST", "SNAPSHOT", "LEASE" });
    for (const auto& controller : status.controllers()) {
        table.add({ controller.id(), controller.endpoint(), controller.role(), std::to_string(controller.term()), std::to_string(controller.commit_index()),
            std::to_string(controller.last_index()), std::to_string(controller.snapshot_index()), controller.lease_valid() ? "valid" : controller.storage_failing() ? "disk fails"
                                                                                                                                                                    : "-" });
    }
    return table.render();
}

std::string daemonTable(const schema::StatusResponse& status)
{
    TextTable table({ "DAEMON", "ROLE", "ZONE", "VERSION", "BEHIND", "SILENT MS" });
    for (const auto& daemon : status.daemons()) {
        const auto behind = status.version() > daemon.version() ? status.version() - daemon.version() : 0;
        table.add({ daemon.daemon(), roleName(daemon.role()), daemon.zone(), std::to_string(daemon.version()), std::to_string(behind), std::to_string(daemon.silent_ms()) });
    }
    return table.render();
}

std::string serverTable(const schema::StatusResponse& status, const schema::Table& fleetTable)
{
    std::map<std::uint32_t, std::string> services;
    for (const auto& service : fleetTable.services())
        services[service.id()] = service.name() + (service.retired() ? " (retired)" : "");
    TextTable table({ "SERVER", "SERVICE", "ZONE", "STATE", "HEALTHY", "IN PROGRESS", "FLOWS", "SLOTS", "WARM-UP LIMIT", "SILENT MS", "ID", "INCARNATION", "AGENT" });
    for (const auto& entry : status.servers()) {
        const auto& server = entry.server();
        table.add({ server.name(), services[server.service_id()], server.zone(), stateName(server.state()), entry.healthy() ? "yes" : "no",
            std::to_string(entry.in_progress()), std::to_string(entry.flows()), std::to_string(server.slots()), std::to_string(entry.warmup_limit()), std::to_string(entry.silent_ms()),
            std::to_string(server.id()), std::to_string(server.incarnation()), server.agent_endpoint() });
    }
    return table.render();
}

std::string eventLine(const schema::Event& event)
{
    auto line = std::to_string(event.number()) + " " + timeText(event.time_ms()) + " " + event.kind() + " " + event.subject();
    if (!event.reason().empty())
        line += ": " + event.reason();
    if (!event.operator_name().empty())
        line += " (by " + event.operator_name() + ")";
    return line + " [version " + std::to_string(event.version()) + "]";
}

} // namespace

void runStatus(Invocation& invocation)
{
    const auto status = invocation.controllerClient().status();
    const auto text = "revision " + std::to_string(status.revision()) + ", table version " + std::to_string(status.version()) + ", "
        + std::to_string(status.servers_size()) + " servers\n\n" + zoneTable(status) + "\n\n" + controllerTable(status) + "\n\n" + daemonTable(status);
    invocation.printer().print(status, text);
}

void runServers(Invocation& invocation)
{
    const auto status = invocation.controllerClient().status();
    const auto table = invocation.controllerClient().readConfig().table();
    schema::StatusResponse servers;
    *servers.mutable_servers() = status.servers();
    servers.set_version(status.version());
    invocation.printer().print(servers, serverTable(status, table));
}

void runEvents(Invocation& invocation)
{
    const auto& options = invocation.options();
    invocation.controllerClient().events(options.after, options.follow, [&invocation](const schema::Event& event) {
        invocation.printer().print(event, eventLine(event));
        return true;
    });
}

} // namespace clementinesill::operators
