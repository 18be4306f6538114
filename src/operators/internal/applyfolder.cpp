#include "operators/internal/applyfolder.h"

#include "control.pb.h"
#include "foundation/error.h"
#include "operators/controllerclient.h"
#include "operators/foldermerge.h"
#include "operators/internal/invocation.h"

#include <map>
#include <string>

namespace clementinesill::operators {

namespace {

bool sameFiles(const schema::ReadConfigResponse& current, const std::vector<ConfigFile>& files)
{
    std::map<std::string, std::string> left;
    for (const auto& file : current.files())
        left[file.name()] = file.content();
    std::map<std::string, std::string> right;
    for (const auto& file : files)
        right[file.name] = file.content;
    return left == right;
}

} // namespace

ApplyResult applyFolder(Invocation& invocation, const std::vector<ConfigFile>& files)
{
    mergeOperatorFolder(files);
    auto& client = invocation.controllerClient();
    const auto& options = invocation.options();
    schema::ApplyRequest request;
    const auto current = client.readConfig();
    // An explicit request id may belong to an earlier change that was accepted, so the request is always sent.
    if (options.requestId.empty() && sameFiles(current, files))
        return { .changed = false, .revision = current.revision() };
    request.set_base_revision(options.baseRevision.value_or(current.revision()));
    request.set_request_id(options.requestId.empty() ? client.makeRequestId() : options.requestId);
    request.set_operator_name(options.operatorName);
    for (const auto& file : files) {
        auto& sent = *request.add_files();
        sent.set_name(file.name);
        sent.set_content(file.content);
    }
    const auto response = client.apply(request);
    return { .changed = true, .revision = response.revision(), .version = response.version() };
}

} // namespace clementinesill::operators
