#pragma once

#include "operators/commandline.h"
#include "operators/types/commandoptions.h"

#include <memory>
#include <string>
#include <vector>

namespace clementinesill::operators {

class ControllerClient;
class IOperatorsChannel;
class Printer;

// A run of one command: its arguments, options, output and controller client.
class Invocation {
public:
    Invocation(std::vector<std::string> arguments, CommandOptions options, Printer& printer, const CommandEnvironment& environment);
    ~Invocation();

    const std::vector<std::string>& arguments() const { return m_arguments; }
    const CommandOptions& options() const { return m_options; }
    const CommandEnvironment& environment() const { return m_environment; }
    Printer& printer() const { return m_printer; }

    // Created on first use. Throws Error (InvalidArgument) if the options list no controllers.
    ControllerClient& controllerClient();

private:
    std::vector<std::string> m_arguments;
    CommandOptions m_options;
    Printer& m_printer;
    const CommandEnvironment& m_environment;
    std::unique_ptr<IOperatorsChannel> m_channel;
    std::unique_ptr<ControllerClient> m_client;
};

} // namespace clementinesill::operators
