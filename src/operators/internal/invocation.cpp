#include "operators/internal/invocation.h"

#include "net/credentials.h"
#include "operators/controllerclient.h"
#include "operators/grpcoperatorschannel.h"
#include "settings.pb.h"

namespace clementinesill::operators {

Invocation::Invocation(std::vector<std::string> arguments, CommandOptions options, Printer& printer, const CommandEnvironment& environment)
    : m_arguments(std::move(arguments))
    , m_options(std::move(options))
    , m_printer(printer)
    , m_environment(environment)
{
}

Invocation::~Invocation() = default;

ControllerClient& Invocation::controllerClient()
{
    if (m_client)
        return *m_client;
    schema::TlsSettings tls;
    tls.set_certificate_file(m_options.certificateFile);
    tls.set_key_file(m_options.keyFile);
    tls.set_authority_file(m_options.authorityFile);
    const net::Credentials credentials(tls, m_options.controllers);
    m_channel = std::make_unique<GrpcOperatorsChannel>(credentials.channel());
    m_client = std::make_unique<ControllerClient>(*m_channel, m_environment.clock, m_environment.random,
        ControllerClientOptions { .controllers = m_options.controllers, .timeout = m_options.timeout, .sleep = m_environment.sleep });
    return *m_client;
}

} // namespace clementinesill::operators
