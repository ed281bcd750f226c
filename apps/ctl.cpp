// arbutusctl: command line tool for operators.
//
// Sections:
//   Command context
//   Configuration
//   Instances
//   Main

#include "arbutus/core/clock.h"
#include "arbutus/core/json.h"
#include "arbutus/http/client.h"
#include "arbutus/metadata/configstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace {

namespace asio = boost::asio;
namespace metadata = arbutus::metadata;
namespace json = boost::json;
namespace core = arbutus::core;
namespace config = arbutus::config;
namespace http = arbutus::http;
using namespace std::chrono_literals;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

//-----------------------------------------------------------------------------
// Command context
//-----------------------------------------------------------------------------

/// Connections, credentials and arguments of the command being run.
struct CommandContext
{
    asio::io_context ioContext{1};
    http::Endpoint platformEndpoint;
    http::Endpoint adminEndpoint;
    std::string adminKey;
    std::string author;
    std::vector<std::string> arguments; // command, followed by its own arguments

    metadata::KvClient store()
    {
        return {ioContext.get_executor(), {platformEndpoint}, "operators"};
    }

    /// Runs a coroutine to completion and returns its result.
    template<class T>
    T await(asio::awaitable<T> operation)
    {
        std::optional<T> result;
        auto runOperation = [&]() -> asio::awaitable<void> { result.emplace(co_await std::move(operation)); };
        asio::co_spawn(ioContext, runOperation, [](std::exception_ptr error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
        ioContext.restart();
        ioContext.run();
        return std::move(*result);
    }
};

int printError(const core::Error &error)
{
    std::cerr << "error: " << core::toString(error.kind) << ": " << error.message << "\nremedy: " << error.remedy << '\n';
    return ExitFailure;
}

int printUsageError(const std::string &message)
{
    std::cerr << "arbutusctl: " << message << "; see --help\n";
    return ExitUsage;
}

std::string readFile(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        throw std::runtime_error("cannot read " + file);
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string generateEditId()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

std::int64_t nowMs()
{
    return core::SystemClock().wallNow().time_since_epoch().count();
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

/// Reads documents from a JSON file that holds one object or an array of objects.
core::Result<std::vector<json::object>> readDocuments(const std::string &file)
{
    boost::system::error_code code;
    const json::value value = json::parse(readFile(file), code);
    if (code) {
        return core::makeError(core::ErrorKind::ConfigInvalid, file + ": invalid JSON: " + code.message());
    }
    std::vector<json::object> out;
    const json::array items = value.is_array() ? value.as_array() : json::array{value};
    for (const json::value &item : items) {
        if (!item.is_object()) {
            return core::makeError(core::ErrorKind::ConfigInvalid, file + ": contains an element that is not a JSON object");
        }
        out.push_back(item.as_object());
    }
    return out;
}

int showConfig(CommandContext &context)
{
    metadata::KvClient store = context.store();
    auto state = context.await(metadata::readConfig(store));
    if (!state) {
        return printError(state.error());
    }
    std::cout << "revision " << state.value().head().revision << '\n';
    for (const auto &[key, document] : state.value().documents()) {
        const bool selected = context.arguments.size() < 4 || (key.kind == context.arguments[2] && key.id == context.arguments[3]);
        if (selected) {
            std::cout << json::serialize(document) << '\n';
        }
    }
    return 0;
}

int submitEdit(CommandContext &context, config::Edit edit)
{
    metadata::KvClient store = context.store();
    edit.editId = generateEditId();
    edit.author = context.author;
    auto written = context.await(metadata::writeEdit(store, edit, nowMs()));
    if (!written) {
        return printError(written.error());
    }
    std::cout << "revision " << written.value() << '\n';
    return 0;
}

core::Result<config::ConfigState> readNewestConfig(CommandContext &context)
{
    metadata::KvClient store = context.store();
    return context.await(metadata::readConfig(store));
}

/// Base revision of an edit: --base, or the newest revision.
core::Revision baseRevision(const cxxopts::ParseResult &flags, const config::ConfigState &state)
{
    return flags.count("base") != 0 ? core::Revision(flags["base"].as<std::uint64_t>()) : state.head().revision;
}

int setConfig(CommandContext &context, const cxxopts::ParseResult &flags)
{
    if (context.arguments.size() < 3) {
        return printUsageError("config set requires a file");
    }
    auto documents = readDocuments(context.arguments[2]);
    if (!documents) {
        return printError(documents.error());
    }
    auto state = readNewestConfig(context);
    if (!state) {
        return printError(state.error());
    }
    config::Edit edit;
    edit.puts = std::move(documents.value());
    edit.baseRevision = baseRevision(flags, state.value());
    return submitEdit(context, std::move(edit));
}

int editConfig(CommandContext &context, const cxxopts::ParseResult &flags)
{
    if (context.arguments.size() < 5) {
        return printUsageError("config edit requires KIND ID PATH=VALUE …");
    }
    auto state = readNewestConfig(context);
    if (!state) {
        return printError(state.error());
    }
    const auto found = state.value().documents().find(config::DocumentKey{context.arguments[2], context.arguments[3]});
    if (found == state.value().documents().end()) {
        return printError(core::makeError(core::ErrorKind::NotFound, "document " + context.arguments[2] + "/" + context.arguments[3] + " does not exist"));
    }
    json::object document = found->second;
    for (std::size_t i = 4; i < context.arguments.size(); ++i) {
        const std::string &assignment = context.arguments[i];
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos) {
            return printUsageError("\"" + assignment + "\" is not of the form PATH=VALUE");
        }
        boost::system::error_code code;
        json::value value = json::parse(assignment.substr(equals + 1), code);
        if (code) { // a value that is not JSON is taken as a string
            value = json::string(assignment.substr(equals + 1));
        }
        if (!config::setFieldByPath(document, assignment.substr(0, equals), value)) {
            return printUsageError("\"" + assignment.substr(0, equals)
                                   + "\" is not a valid path: it has an empty component or leads through a value that is not an object");
        }
    }
    config::Edit edit;
    edit.puts.push_back(std::move(document));
    edit.baseRevision = baseRevision(flags, state.value());
    return submitEdit(context, std::move(edit));
}

int diffOrValidate(CommandContext &context, bool validateOnly)
{
    if (context.arguments.size() < 3) {
        return printUsageError("config diff and config validate require a file");
    }
    auto documents = readDocuments(context.arguments[2]);
    if (!documents) {
        return printError(documents.error());
    }
    auto state = readNewestConfig(context);
    if (!state) {
        return printError(state.error());
    }
    config::Edit edit;
    edit.editId = "check";
    edit.puts = documents.value();
    edit.baseRevision = state.value().head().revision;
    const auto entry = config::buildLogEntry(state.value(), edit, nowMs());
    if (!entry) {
        return printError(entry.error());
    }
    if (validateOnly) {
        std::cout << "valid\n";
        return 0;
    }
    config::ConfigState after = state.value();
    after.apply(entry.value());
    for (const std::string &line : config::diffDocuments(state.value().documents(), after.documents())) {
        std::cout << line << '\n';
    }
    return 0;
}

int showHistory(CommandContext &context)
{
    metadata::KvClient store = context.store();
    auto history = context.await(metadata::readHistory(store));
    if (!history) {
        return printError(history.error());
    }
    for (const config::LogEntry &entry : history.value()) {
        std::cout << entry.revision << " at_ms=" << entry.editedAtMs << " author=" << entry.author;
        for (const json::object &put : entry.puts) {
            std::cout << " put=" << core::jsonString(put, "kind") << '/' << core::jsonString(put, "id");
        }
        for (const config::DocumentKey &key : entry.removals) {
            std::cout << " removed=" << key.kind << '/' << key.id;
        }
        std::cout << '\n';
    }
    return 0;
}

int runConfig(CommandContext &context, const cxxopts::ParseResult &flags)
{
    const std::string subcommand = context.arguments.size() > 1 ? context.arguments[1] : "";
    if (subcommand == "get") {
        return showConfig(context);
    }
    if (subcommand == "set") {
        return setConfig(context, flags);
    }
    if (subcommand == "edit") {
        return editConfig(context, flags);
    }
    if (subcommand == "diff" || subcommand == "validate") {
        return diffOrValidate(context, subcommand == "validate");
    }
    if (subcommand == "history") {
        return showHistory(context);
    }
    return printUsageError("config requires a subcommand: get, set, edit, diff, history or validate");
}

//-----------------------------------------------------------------------------
// Instances
//-----------------------------------------------------------------------------

core::Result<json::object> callAdmin(CommandContext &context, const std::string &method, const std::string &path)
{
    http::Request request;
    request.method = method;
    request.target = "/admin/v1/" + path;
    request.headers["Authorization"] = "Bearer " + context.adminKey;
    auto response = context.await(http::fetch(context.ioContext.get_executor(), context.adminEndpoint, request, 3s));
    if (!response) {
        return core::makeError(core::ErrorKind::PeerFailed,
                               "call to the instance at " + http::toString(context.adminEndpoint) + " failed: " + response.error().message);
    }
    auto body = core::parseJsonObject(response.value().body);
    if (body && response.value().status >= 400) {
        const json::object &reported = core::jsonObject(body.value(), "error");
        core::Error error = core::makeError(core::ErrorKind::PeerFailed, core::jsonString(reported, "message"));
        error.remedy = core::jsonString(reported, "remedy");
        return error;
    }
    return body;
}

int printTable(CommandContext &context, const std::string &path, std::string_view arrayName, const std::vector<std::string_view> &columns)
{
    const auto response = callAdmin(context, "GET", path);
    if (!response) {
        return printError(response.error());
    }
    for (const std::string_view column : columns) {
        std::cout << column << '\t';
    }
    std::cout << '\n';
    for (const json::value &row : core::jsonArray(response.value(), arrayName)) {
        for (const std::string_view column : columns) {
            const json::value *value = row.as_object().if_contains(column);
            const bool isString = value != nullptr && value->is_string();
            std::cout << (value == nullptr ? "-" : (isString ? std::string(value->as_string()) : json::serialize(*value))) << '\t';
        }
        std::cout << '\n';
    }
    return 0;
}

int explainDecision(CommandContext &context)
{
    if (context.arguments.size() < 2) {
        return printUsageError("explain requires a decision ID");
    }
    const auto response = callAdmin(context, "GET", "decisions/" + context.arguments[1]);
    if (!response) {
        return printError(response.error());
    }
    const auto describe = [](const json::object &candidate) {
        std::ostringstream out;
        out << core::jsonString(candidate, "name") << " in " << core::jsonString(candidate, "region") << ", score " << core::jsonNumber(candidate, "score")
            << ", first token in " << core::jsonInteger(candidate, "first_token_ms") << " ms, wait " << core::jsonInteger(candidate, "wait_ms") << " ms, price "
            << core::jsonNumber(candidate, "price") << (core::jsonBool(candidate, "warm") ? ", warm prefix" : "");
        return out.str();
    };
    std::cout << "decision " << context.arguments[1] << '\n';
    for (const json::value &value : core::jsonArray(response.value(), "steps")) {
        const json::object &step = value.as_object();
        std::cout << core::jsonString(step, "result") << " (" << core::jsonString(step, "detail") << ") workspace " << core::jsonString(step, "workspace")
                  << " class " << core::jsonString(step, "class") << " revision " << core::jsonInteger(step, "config_revision") << '\n';
        if (step.contains("chosen")) {
            std::cout << "  chosen    " << describe(core::jsonObject(step, "chosen")) << "\n  reason    " << core::jsonString(step, "reason") << '\n';
        }
        if (step.contains("runner_up")) {
            std::cout << "  runner-up " << describe(core::jsonObject(step, "runner_up")) << '\n';
        }
    }
    return 0;
}

int drainInstance(CommandContext &context)
{
    const auto response = callAdmin(context, "POST", "drain");
    if (!response) {
        return printError(response.error());
    }
    std::cout << "draining\n";
    return 0;
}

//-----------------------------------------------------------------------------
// Main
//-----------------------------------------------------------------------------

std::string environmentVariable(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? "" : value;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("arbutusctl", "Command line tool for operators");
    options.custom_help("[--platform ADDRESS] [--admin ADDRESS --key KEY] COMMAND");
    options.add_options()                                                                                                                             //
        ("platform", "address of the platform's service", cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))                             //
        ("admin", "admin address of an instance", cxxopts::value<std::string>()->default_value("127.0.0.1:8201"))                                     //
        ("key", "admin key; falls back to ARBUTUS_ADMIN_KEY", cxxopts::value<std::string>()->default_value(environmentVariable("ARBUTUS_ADMIN_KEY"))) //
        ("author", "author recorded with an edit", cxxopts::value<std::string>()->default_value("operator"))                                          //
        ("base", "revision that an edit is based on; default: the newest", cxxopts::value<std::uint64_t>())                                           //
        ("help", "show this help")                                                                                                                    //
        ("words", "command", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") != 0 || flags.count("words") == 0) {
        std::cout << options.help() << "\nCommands:\n"
                  << "  config get [KIND ID] | set FILE | edit KIND ID PATH=VALUE… | diff FILE | validate FILE | history\n"
                  << "  instances | upstreams | explain DECISION | drain\n";
        return flags.count("help") != 0 ? 0 : ExitUsage;
    }
    CommandContext context;
    context.platformEndpoint = http::parseEndpoint(flags["platform"].as<std::string>());
    context.adminEndpoint = http::parseEndpoint(flags["admin"].as<std::string>());
    context.adminKey = flags["key"].as<std::string>();
    context.author = flags["author"].as<std::string>();
    context.arguments = flags["words"].as<std::vector<std::string>>();
    const std::string &command = context.arguments.front();
    if (command == "config") {
        return runConfig(context, flags);
    }
    if (command == "instances") {
        return printTable(context, "instances", "instances", {"id", "region", "failure_domain", "state", "phase", "in_flight", "held", "url"});
    }
    if (command == "upstreams") {
        return printTable(
            context, "upstreams", "upstreams", {"id", "kind", "running", "waiting", "slots", "in_flight_here", "leaving", "reachable", "ejected", "slowness"});
    }
    if (command == "explain") {
        return explainDecision(context);
    }
    if (command == "drain") {
        return drainInstance(context);
    }
    return printUsageError("unknown command \"" + command + "\"");
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        return printUsageError(error.what());
    }
}
