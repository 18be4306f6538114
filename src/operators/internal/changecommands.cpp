#include "operators/internal/changecommands.h"

#include "control.pb.h"
#include "foundation/error.h"
#include "operators/controllerclient.h"
#include "operators/foldermerge.h"
#include "operators/internal/applyfolder.h"
#include "operators/internal/invocation.h"
#include "operators/internal/printer.h"

namespace clementinesill::operators {

namespace {

std::string revisionText(std::uint64_t revision, std::uint64_t version)
{
    return "revision " + std::to_string(revision) + ", table version " + std::to_string(version);
}

std::string requestId(Invocation& invocation)
{
    const auto& option = invocation.options().requestId;
    return option.empty() ? invocation.controllerClient().makeRequestId() : option;
}

std::uint64_t baseRevision(Invocation& invocation)
{
    const auto& option = invocation.options().baseRevision;
    return option ? *option : invocation.controllerClient().readConfig().revision();
}

schema::ZoneState zoneState(const std::string& text)
{
    if (text == "in")
        return schema::ZONE_STATE_IN;
    if (text == "out")
        return schema::ZONE_STATE_OUT;
    throw Error(ErrorKind::InvalidArgument, "'" + text + "' is not an availability zone state", "write `zone in NAME` or `zone out NAME`");
}

} // namespace

void runCheck(Invocation& invocation)
{
    const auto config = mergeOperatorFolder(readOperatorFolder(invocation.arguments()[0]));
    schema::Table merged;
    merged.mutable_services()->Assign(config.services.begin(), config.services.end());
    merged.mutable_zones()->Assign(config.zones.begin(), config.zones.end());
    const auto text = "valid: " + std::to_string(config.services.size()) + " services, " + std::to_string(config.zones.size()) + " availability zones";
    invocation.printer().print(merged, text);
}

void runApply(Invocation& invocation)
{
    const auto applied = applyFolder(invocation, readOperatorFolder(invocation.arguments()[0]));
    schema::ChangeResponse result;
    result.mutable_outcome()->set_code(schema::Outcome::CODE_OK);
    result.set_revision(applied.revision);
    result.set_version(applied.version);
    const auto text = applied.changed ? "accepted: " + revisionText(applied.revision, applied.version) : "already in force: revision " + std::to_string(applied.revision);
    invocation.printer().print(result, text);
}

void runZone(Invocation& invocation)
{
    const auto& arguments = invocation.arguments();
    schema::SetZoneRequest request;
    request.set_state(zoneState(arguments[0]));
    request.set_zone(arguments[1]);
    request.set_operator_name(invocation.options().operatorName);
    request.set_request_id(requestId(invocation));
    request.set_base_revision(baseRevision(invocation));
    const auto response = invocation.controllerClient().setZone(request);
    invocation.printer().print(response, "accepted: availability zone " + arguments[1] + " " + arguments[0] + ", " + revisionText(response.revision(), response.version()));
}

void runDrain(Invocation& invocation)
{
    const auto& server = invocation.arguments()[0];
    const bool resume = invocation.options().resume;
    schema::DrainServerRequest request;
    request.set_server(server);
    request.set_resume(resume);
    request.set_operator_name(invocation.options().operatorName);
    request.set_request_id(requestId(invocation));
    const auto response = invocation.controllerClient().drainServer(request);
    invocation.printer().print(response, "accepted: backend server " + server + (resume ? " accepts new flows again, " : " accepts no new flows, ") + revisionText(response.revision(), response.version()));
}

} // namespace clementinesill::operators
