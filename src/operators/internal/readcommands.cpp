#include "operators/internal/readcommands.h"

#include "control.pb.h"
#include "operators/controllerclient.h"
#include "operators/internal/invocation.h"
#include "operators/internal/printer.h"
#include "operators/internal/texttable.h"

#include <algorithm>

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
            std::to_string(controller.last_index()), std::to_string(controller.snapshot_index()), controller.lease_valid() ? "valid" : "-" });
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

} // namespace

void runStatus(Invocation& invocation)
{
    const auto status = invocation.controllers().status();
    const auto text = "revision " + std::to_string(status.revision()) + ", table version " + std::to_string(status.version()) + ", "
        + std::to_string(status.servers_size()) + " servers\n\n" + zoneTable(status) + "\n\n" + controllerTable(status) + "\n\n" + daemonTable(status);
    invocation.printer().print(status, text);
}

} // namespace clementinesill::operators
