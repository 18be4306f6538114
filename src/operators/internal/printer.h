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

// Writes a command's result as text for people or as one JSON object a line.
class Printer {
public:
    Printer(std::ostream& out, std::ostream& err, bool json);

    // JSON output writes the message, text output the text.
    void print(const google::protobuf::Message& message, const std::string& text);

    // As above with a JSON text that is ready.
    void printJson(const std::string& json, const std::string& text);

    void fail(const Error& error);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_json;
};

} // namespace clementinesill::operators
