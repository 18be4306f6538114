#include "operators/internal/commandarguments.h"

#include "foundation/error.h"
#include "operators/internal/durationtext.h"
#include "operators/settings.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>

namespace clementinesill::operators {

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("clementinesill");
    const auto text = [] { return cxxopts::value<std::string>(); };
    const auto list = [] { return cxxopts::value<std::vector<std::string>>(); };
    auto add = options.add_options();
    add("h,help", "print help");
    add("c,controllers", "gRPC endpoints of the controllers, separated by commas", list(), "A:P,...");
    add("d,daemon", "admin endpoints of the daemons to query, separated by commas", list(), "A:P,...");
    add("config", "client settings; default: ~/.config/clementinesill/client.json", text(), "FILE");
    add("o,output", "text or json", text()->default_value("text"), "FORMAT");
    add("timeout", "time limit for the whole command, such as 10s", text()->default_value("10s"), "TIME");
    add("operator", "operator name recorded in events; default: the login name", text(), "NAME");
    add("request-id", "id of an earlier change whose response was lost", text(), "ID");
    add("base-revision", "revision that the change is based on; default: the current revision", cxxopts::value<std::uint64_t>(), "N");
    add("resume", "drain: accept new flows again", cxxopts::value<bool>());
    add("follow", "events: wait for new events until interrupted", cxxopts::value<bool>());
    add("after", "events: only events with a greater number", cxxopts::value<std::uint64_t>()->default_value("0"), "N");
    add("interval", "watch: interval between reads of the folder", text()->default_value("1s"), "TIME");
    add("caller", "flows: only of this caller, ADDRESS or ADDRESS:PORT", text(), "CALLER");
    add("service", "flows: only of this service", text(), "NAME");
    add("server", "flows: only to this backend server", text(), "NAME");
    add("zone", "explain-placement: only balancers in this availability zone", text(), "NAME");
    add("limit", "flows: maximum number per daemon", cxxopts::value<std::uint32_t>()->default_value("100"), "N");
    add("positional", "", list());
    options.parse_positional("positional");
    return options;
}

std::chrono::milliseconds durationOption(const cxxopts::ParseResult& result, const std::string& option)
{
    const auto text = result[option].as<std::string>();
    const auto duration = parseDuration(text);
    if (!duration || duration->count() == 0)
        throw Error(ErrorKind::InvalidArgument, "--" + option + " '" + text + "' is not a duration", "write a number with a unit, such as 10s or 500ms");
    return *duration;
}

bool jsonOption(const cxxopts::ParseResult& result)
{
    const auto text = result["output"].as<std::string>();
    if (text != "text" && text != "json")
        throw Error(ErrorKind::InvalidArgument, "unknown --output format '" + text + "'", "write text or json");
    return text == "json";
}

template <typename Value>
Value optionOr(const cxxopts::ParseResult& result, const std::string& option, Value fallback)
{
    return result.count(option) ? result[option].as<Value>() : fallback;
}

CommandArguments convert(const cxxopts::ParseResult& result)
{
    CommandArguments arguments;
    arguments.help = result.count("help") > 0;
    arguments.positional = optionOr<std::vector<std::string>>(result, "positional", {});
    arguments.configFile = optionOr<std::string>(result, "config", "");
    auto& options = arguments.options;
    options.json = jsonOption(result);
    options.controllers = optionOr<std::vector<std::string>>(result, "controllers", {});
    options.daemons = optionOr<std::vector<std::string>>(result, "daemon", {});
    options.operatorName = optionOr<std::string>(result, "operator", "");
    options.timeout = durationOption(result, "timeout");
    options.requestId = optionOr<std::string>(result, "request-id", "");
    if (result.count("base-revision"))
        options.baseRevision = result["base-revision"].as<std::uint64_t>();
    options.resume = result.count("resume") > 0;
    options.follow = result.count("follow") > 0;
    options.after = result["after"].as<std::uint64_t>();
    options.interval = durationOption(result, "interval");
    options.caller = optionOr<std::string>(result, "caller", "");
    options.service = optionOr<std::string>(result, "service", "");
    options.server = optionOr<std::string>(result, "server", "");
    options.zone = optionOr<std::string>(result, "zone", "");
    options.limit = result["limit"].as<std::uint32_t>();
    return arguments;
}

std::string environmentVariable(const char* variable)
{
    const auto* value = std::getenv(variable);
    return value ? value : "";
}

std::string defaultConfigFile()
{
    const auto configured = environmentVariable("XDG_CONFIG_HOME");
    const auto folder = configured.empty() ? environmentVariable("HOME") + "/.config" : configured;
    return folder + "/clementinesill/client.json";
}

} // namespace

CommandArguments parseArguments(std::span<const std::string> arguments)
{
    std::vector<const char*> pointers { "clementinesill" };
    for (const auto& argument : arguments)
        pointers.push_back(argument.c_str());
    try {
        return convert(makeOptions().parse(static_cast<int>(pointers.size()), pointers.data()));
    } catch (const cxxopts::exceptions::exception& error) {
        throw Error(ErrorKind::InvalidArgument, error.what(), "see `clementinesill COMMAND --help`");
    }
}

CommandOptions withClientSettings(const CommandArguments& arguments)
{
    auto options = arguments.options;
    const auto file = arguments.configFile.empty() ? defaultConfigFile() : arguments.configFile;
    schema::ClientSettings settings;
    std::error_code ignored;
    if (!arguments.configFile.empty() || std::filesystem::exists(file, ignored))
        settings = loadClientSettings(file);
    if (options.controllers.empty())
        options.controllers.assign(settings.controllers().begin(), settings.controllers().end());
    if (options.daemons.empty())
        options.daemons.assign(settings.daemons().begin(), settings.daemons().end());
    if (options.operatorName.empty())
        options.operatorName = settings.operator_name().empty() ? environmentVariable("USER") : settings.operator_name();
    options.certificateFile = settings.tls().certificate_file();
    options.keyFile = settings.tls().key_file();
    options.authorityFile = settings.tls().authority_file();
    return options;
}

std::string optionHelp()
{
    const auto text = makeOptions().help();
    const auto start = text.find("  -h");
    return "Options:\n" + (start == std::string::npos ? text : text.substr(start));
}

} // namespace clementinesill::operators
