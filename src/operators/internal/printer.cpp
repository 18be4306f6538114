#include "operators/internal/printer.h"

#include "operators/configerror.h"

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace clementinesill::operators {

namespace {

nlohmann::ordered_json describe(const Error& error)
{
    nlohmann::ordered_json json;
    json["kind"] = name(error.kind());
    json["problem"] = error.problem();
    json["remedy"] = error.remedy();
    const auto* config = dynamic_cast<const ConfigError*>(&error);
    if (!config)
        return json;
    json["fault"] = name(config->fault());
    json["file"] = config->position().file;
    json["line"] = config->position().line;
    json["key"] = config->position().key;
    return json;
}

} // namespace

Printer::Printer(std::ostream& out, std::ostream& err, bool json)
    : m_out(out)
    , m_err(err)
    , m_json(json)
{
}

void Printer::print(const google::protobuf::Message& message, const std::string& text)
{
    std::string json;
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    if (m_json)
        static_cast<void>(google::protobuf::util::MessageToJsonString(message, &json, options));
    printJson(json, text);
}

void Printer::printJson(const std::string& json, const std::string& text)
{
    m_out << (m_json ? json : text) << '\n'
          << std::flush;
}

void Printer::printError(const Error& error)
{
    if (!m_json) {
        m_err << "clementinesill: " << error.what() << '\n';
        return;
    }
    nlohmann::ordered_json json;
    json["error"] = describe(error);
    m_err << json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << '\n';
}

} // namespace clementinesill::operators
