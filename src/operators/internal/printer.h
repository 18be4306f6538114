#pragma once

#include <iosfwd>
#include <string>

namespace google::protobuf {
class Message;
}

namespace clementinesill {
class Error;
}

namespace clementinesill::operators {

// Prints a command's results, either as text or as one JSON object per line.
class Printer {
public:
    Printer(std::ostream& out, std::ostream& err, bool json);

    // Prints the message in JSON mode and the text in text mode.
    void print(const google::protobuf::Message& message, const std::string& text);

    // As print(), with the message already converted to JSON.
    void printJson(const std::string& json, const std::string& text);

    void printError(const Error& error);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_json;
};

} // namespace clementinesill::operators
