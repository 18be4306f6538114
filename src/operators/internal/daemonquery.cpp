#include "operators/internal/daemonquery.h"

#include "operators/adminclient.h"
#include "operators/internal/invocation.h"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace clementinesill::operators {

namespace {

void parse(const std::string& daemon, const std::string& page, google::protobuf::Message& response)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (!google::protobuf::util::JsonStringToMessage(page, &response, options).ok())
        throw Error(ErrorKind::Malformed, "daemon " + daemon + " returned an unexpected page", "check that --daemon names an admin endpoint of the same release");
}

} // namespace

DaemonQuery::DaemonQuery(Invocation& invocation, std::string target)
    : m_invocation(invocation)
    , m_daemons(invocation.options().daemons)
    , m_target(std::move(target))
{
    if (m_daemons.empty())
        throw Error(ErrorKind::InvalidArgument, "no daemons are configured", "list their admin endpoints with --daemon or in the client settings");
}

bool DaemonQuery::fetch(const std::string& daemon, google::protobuf::Message& response)
{
    try {
        parse(daemon, fetchAdminPage(daemon, m_target, m_invocation.options().timeout), response);
        return true;
    } catch (const Error& error) {
        if (!m_firstError)
            m_firstError = error;
        return false;
    }
}

void DaemonQuery::throwFirstError() const
{
    if (m_firstError)
        throw Error(*m_firstError);
}

} // namespace clementinesill::operators
