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

// Asks each daemon of a command's options for the same page.
class DaemonQuery {
public:
    // Throws Error (InvalidArgument) if no daemons are known.
    DaemonQuery(Invocation& invocation, std::string target);

    // Answers of the daemons that gave one, in the order of the options.
    template <typename Answer>
    std::vector<Answer> answers()
    {
        std::vector<Answer> answers;
        for (const auto& daemon : m_daemons) {
            Answer answer;
            if (fetch(daemon, answer))
                answers.push_back(std::move(answer));
        }
        return answers;
    }

    // Throws the first failure, if any.
    void finish() const;

private:
    // Notes a failure and returns false if there is no answer.
    bool fetch(const std::string& daemon, google::protobuf::Message& answer);

    const Invocation& m_invocation;
    const std::vector<std::string>& m_daemons;
    std::string m_target;
    std::optional<Error> m_failure;
};

} // namespace clementinesill::operators
