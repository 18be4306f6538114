#pragma once

#include "foundation/error.h"

#include <optional>
#include <string>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace clementinesill::operators {

class Invocation;

// Fetches the same page from each daemon in a command's options.
class DaemonQuery {
public:
    // Throws Error (InvalidArgument) if the options list no daemons.
    DaemonQuery(Invocation& invocation, std::string target);

    // Responses of the daemons that sent one, in the order of the options.
    template <typename Response>
    std::vector<Response> responses()
    {
        std::vector<Response> responses;
        for (const auto& daemon : m_daemons) {
            Response response;
            if (fetch(daemon, response))
                responses.push_back(std::move(response));
        }
        return responses;
    }

    // Throws the first error, if a daemon did not respond.
    void throwFirstError() const;

private:
    // Keeps the first error and returns false if the daemon does not respond.
    bool fetch(const std::string& daemon, google::protobuf::Message& response);

    const Invocation& m_invocation;
    const std::vector<std::string>& m_daemons;
    std::string m_target;
    std::optional<Error> m_firstError;
};

} // namespace clementinesill::operators
