#include "operators/internal/invocation.h"

#include "operators/controllerclient.h"
#include "operators/grpcoperatorschannel.h"

#include <grpcpp/security/credentials.h>

namespace clementinesill::operators {

Invocation::Invocation(std::vector<std::string> arguments, CommandOptions options, Printer& printer, const CommandEnvironment& environment)
    : m_arguments(std::move(arguments))
    , m_options(std::move(options))
    , m_printer(printer)
    , m_environment(environment)
{
}

Invocation::~Invocation() = default;

ControllerClient& Invocation::controllers()
{
    if (m_client)
        return *m_client;
    m_channel = std::make_unique<GrpcOperatorsChannel>(grpc::InsecureChannelCredentials());
    m_client = std::make_unique<ControllerClient>(*m_channel, m_environment.clock, m_environment.random,
        ControllerClientOptions { .controllers = m_options.controllers, .timeout = m_options.timeout, .pause = m_environment.pause });
    return *m_client;
}

} // namespace clementinesill::operators
