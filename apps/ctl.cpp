// arbutusctl: the operators' command line.
//
// Sections:
//   Connections
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

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

//-----------------------------------------------------------------------------
// Connections
//-----------------------------------------------------------------------------

/// What every command may need.
struct Tool
{
    asio::io_context context{1};
    http::Endpoint platformAddress;
    http::Endpoint admin;
    std::string adminKey;
    std::string author;
    std::vector<std::string> words; // command and its arguments

    metadata::KvClient store()
    {
        return {context.get_executor(), {platformAddress}, "operators"};
    }

    /// Runs a coroutine to its end and gives its result.
    template<class T>
    T await(asio::awaitable<T> work)
    {
        std::optional<T> result;
        auto body = [&]() -> asio::awaitable<void> { result.emplace(co_await std::move(work)); };
        asio::co_spawn(context, body, [](std::exception_ptr error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
        context.restart();
        context.run();
        return std::move(*result);
    }
};

int fail(const core::Error &error)
{
    std::cerr << "error: " << core::toString(error.kind) << ": " << error.message << "\nremedy: " << error.remedy << '\n';
    return ExitFailed;
}

int failUsage(const std::string &message)
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

std::string drawEditId()
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

/// Documents of a file: one object, or a list of them.
core::Result<std::vector<json::object>> readDocuments(const std::string &file)
{
    boost::system::error_code code;
    const json::value value = json::parse(readFile(file), code);
    if (code) {
        return core::makeError(core::ErrorKind::ConfigInvalid, file + ": not JSON: " + code.message());
    }
    std::vector<json::object> out;
    const json::array list = value.is_array() ? value.as_array() : json::array{value};
    for (const json::value &item : list) {
        if (!item.is_object()) {
            return core::makeError(core::ErrorKind::ConfigInvalid, file + ": a document is no object");
        }
        out.push_back(item.as_object());
    }
    return out;
}

int showConfig(Tool &tool)
{
    metadata::KvClient store = tool.store();
    auto state = tool.await(metadata::readConfig(store));
    if (!state) {
        return fail(state.error());
    }
    std::cout << "revision " << state.value().head().revision << '\n';
    for (const auto &[key, document] : state.value().documents()) {
        const bool wanted = tool.words.size() < 4 || (key.kind == tool.words[2] && key.id == tool.words[3]);
        if (wanted) {
            std::cout << json::serialize(document) << '\n';
        }
    }
    return 0;
}

int writeDocuments(Tool &tool, config::Edit edit)
{
    metadata::KvClient store = tool.store();
    edit.editId = drawEditId();
    edit.author = tool.author;
    auto written = tool.await(metadata::writeEdit(store, edit, nowMs()));
    if (!written) {
        return fail(written.error());
    }
    std::cout << "revision " << written.value() << '\n';
    return 0;
}

core::Result<config::ConfigState> newest(Tool &tool)
{
    metadata::KvClient store = tool.store();
    return tool.await(metadata::readConfig(store));
}

/// Revision that an edit is made against: --base, or the newest.
core::Revision baseOf(const cxxopts::ParseResult &arguments, const config::ConfigState &state)
{
    return arguments.count("base") != 0 ? core::Revision(arguments["base"].as<std::uint64_t>()) : state.head().revision;
}

int setConfig(Tool &tool, const cxxopts::ParseResult &arguments)
{
    if (tool.words.size() < 3) {
        return failUsage("config set needs a file");
    }
    auto documents = readDocuments(tool.words[2]);
    if (!documents) {
        return fail(documents.error());
    }
    auto state = newest(tool);
    if (!state) {
        return fail(state.error());
    }
    config::Edit edit;
    edit.puts = std::move(documents.value());
    edit.baseRevision = baseOf(arguments, state.value());
    return writeDocuments(tool, std::move(edit));
}

int editConfig(Tool &tool, const cxxopts::ParseResult &arguments)
{
    if (tool.words.size() < 5) {
        return failUsage("config edit needs KIND ID PATH=VALUE …");
    }
    auto state = newest(tool);
    if (!state) {
        return fail(state.error());
    }
    const auto found = state.value().documents().find(config::DocumentKey{tool.words[2], tool.words[3]});
    if (found == state.value().documents().end()) {
        return fail(core::makeError(core::ErrorKind::NotFound, "no document " + tool.words[2] + "/" + tool.words[3]));
    }
    json::object document = found->second;
    for (std::size_t i = 4; i < tool.words.size(); ++i) {
        const std::string &word = tool.words[i];
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            return failUsage("\"" + word + "\" is not PATH=VALUE");
        }
        boost::system::error_code code;
        json::value value = json::parse(word.substr(equals + 1), code);
        if (code) { // a bare word is a text
            value = json::string(word.substr(equals + 1));
        }
        if (!config::setFieldByPath(document, word.substr(0, equals), value)) {
            return failUsage("\"" + word.substr(0, equals) + "\" leads through something that is no object");
        }
    }
    config::Edit edit;
    edit.puts.push_back(std::move(document));
    edit.baseRevision = baseOf(arguments, state.value());
    return writeDocuments(tool, std::move(edit));
}

int diffConfig(Tool &tool, bool onlyValidate)
{
    if (tool.words.size() < 3) {
        return failUsage("config diff and validate need a file");
    }
    auto documents = readDocuments(tool.words[2]);
    if (!documents) {
        return fail(documents.error());
    }
    auto state = newest(tool);
    if (!state) {
        return fail(state.error());
    }
    config::Edit edit;
    edit.editId = "check";
    edit.puts = documents.value();
    edit.baseRevision = state.value().head().revision;
    const auto entry = config::buildLogEntry(state.value(), edit, nowMs());
    if (!entry) {
        return fail(entry.error());
    }
    if (onlyValidate) {
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

int showHistory(Tool &tool)
{
    metadata::KvClient store = tool.store();
    auto history = tool.await(metadata::readHistory(store));
    if (!history) {
        return fail(history.error());
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

int runConfig(Tool &tool, const cxxopts::ParseResult &arguments)
{
    const std::string verb = tool.words.size() > 1 ? tool.words[1] : "";
    if (verb == "get") {
        return showConfig(tool);
    }
    if (verb == "set") {
        return setConfig(tool, arguments);
    }
    if (verb == "edit") {
        return editConfig(tool, arguments);
    }
    if (verb == "diff" || verb == "validate") {
        return diffConfig(tool, verb == "validate");
    }
    if (verb == "history") {
        return showHistory(tool);
    }
    return failUsage("config needs get, set, edit, diff, history or validate");
}

//-----------------------------------------------------------------------------
// Instances
//-----------------------------------------------------------------------------

core::Result<json::object> callAdmin(Tool &tool, const std::string &method, const std::string &path)
{
    http::Request request;
    request.method = method;
    request.target = "/admin/v1/" + path;
    request.headers["Authorization"] = "Bearer " + tool.adminKey;
    auto answer = tool.await(http::fetch(tool.context.get_executor(), tool.admin, request, 3s));
    if (!answer) {
        return core::makeError(core::ErrorKind::PeerFailed, "the instance at " + http::toString(tool.admin) + ": " + answer.error().message);
    }
    auto body = core::parseJsonObject(answer.value().body);
    if (body && answer.value().status >= 400) {
        const json::object &error = core::jsonObject(body.value(), "error");
        core::Error told = core::makeError(core::ErrorKind::PeerFailed, core::jsonString(error, "message"));
        told.remedy = core::jsonString(error, "remedy");
        return told;
    }
    return body;
}

int showRows(Tool &tool, const std::string &path, std::string_view list, const std::vector<std::string_view> &columns)
{
    const auto answer = callAdmin(tool, "GET", path);
    if (!answer) {
        return fail(answer.error());
    }
    for (const std::string_view column : columns) {
        std::cout << column << '\t';
    }
    std::cout << '\n';
    for (const json::value &row : core::jsonArray(answer.value(), list)) {
        for (const std::string_view column : columns) {
            const json::value *value = row.as_object().if_contains(column);
            const bool text = value != nullptr && value->is_string();
            std::cout << (value == nullptr ? "-" : (text ? std::string(value->as_string()) : json::serialize(*value))) << '\t';
        }
        std::cout << '\n';
    }
    return 0;
}

int explain(Tool &tool)
{
    if (tool.words.size() < 2) {
        return failUsage("explain needs a decision id");
    }
    const auto answer = callAdmin(tool, "GET", "decisions/" + tool.words[1]);
    if (!answer) {
        return fail(answer.error());
    }
    const auto describe = [](const json::object &scored) {
        std::ostringstream out;
        out << core::jsonString(scored, "name") << " in " << core::jsonString(scored, "region") << ", score " << core::jsonNumber(scored, "score")
            << ", first token in " << core::jsonInteger(scored, "first_token_ms") << " ms, wait " << core::jsonInteger(scored, "wait_ms") << " ms, price "
            << core::jsonNumber(scored, "price") << (core::jsonBool(scored, "warm") ? ", warm prefix" : "");
        return out.str();
    };
    std::cout << "decision " << tool.words[1] << '\n';
    for (const json::value &value : core::jsonArray(answer.value(), "steps")) {
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

int drain(Tool &tool)
{
    const auto answer = callAdmin(tool, "POST", "drain");
    if (!answer) {
        return fail(answer.error());
    }
    std::cout << "draining\n";
    return 0;
}

//-----------------------------------------------------------------------------
// Main
//-----------------------------------------------------------------------------

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? "" : value;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("arbutusctl", "Operators' command line");
    options.custom_help("[--platform ADDRESS] [--admin ADDRESS --key KEY] COMMAND");
    options.add_options()                                                                                                                     //
        ("platform", "platform's service", cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))                                    //
        ("admin", "operators' listener of an instance", cxxopts::value<std::string>()->default_value("127.0.0.1:8201"))                       //
        ("key", "operators' key; also ARBUTUS_ADMIN_KEY", cxxopts::value<std::string>()->default_value(fromEnvironment("ARBUTUS_ADMIN_KEY"))) //
        ("author", "who edits", cxxopts::value<std::string>()->default_value("operator"))                                                     //
        ("base", "revision that an edit was made against", cxxopts::value<std::uint64_t>())                                                   //
        ("help", "show this text")                                                                                                            //
        ("words", "command", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("words") == 0) {
        std::cout << options.help() << "\nCommands:\n"
                  << "  config get [KIND ID] | set FILE | edit KIND ID PATH=VALUE… | diff FILE | validate FILE | history\n"
                  << "  instances | upstreams | explain DECISION | drain\n";
        return arguments.count("help") != 0 ? 0 : ExitUsage;
    }
    Tool tool;
    tool.platformAddress = http::parseEndpoint(arguments["platform"].as<std::string>());
    tool.admin = http::parseEndpoint(arguments["admin"].as<std::string>());
    tool.adminKey = arguments["key"].as<std::string>();
    tool.author = arguments["author"].as<std::string>();
    tool.words = arguments["words"].as<std::vector<std::string>>();
    const std::string &command = tool.words.front();
    if (command == "config") {
        return runConfig(tool, arguments);
    }
    if (command == "instances") {
        return showRows(tool, "instances", "instances", {"id", "region", "failure_domain", "state", "phase", "in_flight", "held", "url"});
    }
    if (command == "upstreams") {
        return showRows(
            tool, "upstreams", "upstreams", {"id", "kind", "running", "waiting", "slots", "in_flight_here", "leaving", "reachable", "ejected", "slowness"});
    }
    if (command == "explain") {
        return explain(tool);
    }
    if (command == "drain") {
        return drain(tool);
    }
    return failUsage("no command \"" + command + "\"");
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        return failUsage(error.what());
    }
}
