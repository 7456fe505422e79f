#include "foxtailwheel/cli/Commands.h"

#include "foxtailwheel/base/File.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/cli/ApiClient.h"
#include "foxtailwheel/cli/Explain.h"
#include "foxtailwheel/cli/Output.h"
#include "foxtailwheel/cli/Place.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/config/Difference.h"
#include "foxtailwheel/config/Quantity.h"

#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

namespace foxtailwheel::cli {

namespace {

    using namespace std::chrono_literals;
    using nlohmann::json;

    constexpr Duration operatorTimeout = 12s;
    constexpr Duration pipelineCallTimeout = 11min;
    constexpr auto statusPollInterval = 200ms;
    /// Maximum number of pages read to find the latest records.
    constexpr std::size_t maxPages = 1000;

    /// Runs the command of one parsed command line.
    class CommandRunner {
    public:
        CommandRunner(const cxxopts::ParseResult& args, std::ostream& out, std::ostream& err)
            : m_args(args)
            , m_positionals(m_args.count("words") > 0 ? m_args["words"].as<std::vector<std::string>>()
                                                      : std::vector<std::string>())
            , m_out(out)
            , m_err(err)
        {
        }

        ExitCode run();

    private:
        using Command = ExitCode (CommandRunner::*)();

        struct CommandEntry {
            std::string_view name;
            Command command;
        };

        static const std::vector<CommandEntry>& commands();
        ExitCode configCheck();
        ExitCode configDiff();
        ExitCode configApply();
        ExitCode configShow();
        ExitCode configHistory();
        ExitCode status();
        ExitCode backends();
        ExitCode accounts();
        ExitCode audit();
        ExitCode drain();
        ExitCode call();
        ExitCode explainRequest();
        ExitCode place();

        bool isJsonOutput() const { return m_args["output"].as<std::string>() == "json"; }
        std::string stringOption(const std::string& name) const
        {
            return m_args.count(name) > 0 ? m_args[name].as<std::string>() : std::string();
        }
        ExitCode reportError(ExitCode code, const std::string& message);
        std::optional<std::string> readFile(const std::string& path);
        std::unique_ptr<ApiClient> connect(const std::string& addressOption, const std::string& tokenFileOption);
        std::optional<json> fetchJson(const std::string& target, ExitCode& code);
        std::optional<json> fetchJson(ApiClient& client, const std::string& target, ExitCode& code);
        ExitCode showRows(const std::string& target, const std::string& key, const std::vector<Column>& columns);
        std::optional<json> fetchRecords(const std::string& target, ExitCode& code);
        ExitCode showRecords(const std::string& target, const std::vector<Column>& columns);
        ExitCode reportApplyResult(const http::Response& response);
        ExitCode waitUntilActive(ApiClient& client, std::uint64_t version);
        ExitCode reportOutcome(const json& body);

        cxxopts::ParseResult m_args;
        std::vector<std::string> m_positionals;
        std::ostream& m_out;
        std::ostream& m_err;
    };

    const std::vector<CommandRunner::CommandEntry>& CommandRunner::commands()
    {
        static const std::vector<CommandEntry> table {
            { "config check", &CommandRunner::configCheck },
            { "config diff", &CommandRunner::configDiff },
            { "config apply", &CommandRunner::configApply },
            { "config show", &CommandRunner::configShow },
            { "config history", &CommandRunner::configHistory },
            { "status", &CommandRunner::status },
            { "backends", &CommandRunner::backends },
            { "accounts", &CommandRunner::accounts },
            { "audit", &CommandRunner::audit },
            { "drain", &CommandRunner::drain },
            { "call", &CommandRunner::call },
            { "explain", &CommandRunner::explainRequest },
            { "place", &CommandRunner::place },
        };
        return table;
    }

    ExitCode CommandRunner::reportError(ExitCode code, const std::string& message)
    {
        m_err << "foxtailwheel: " << message << "\n";
        return code;
    }

    ExitCode CommandRunner::run()
    {
        if (m_positionals.empty())
            return reportError(ExitCode::Usage, "missing command; see --help");
        const auto first = m_positionals[0];
        const auto firstTwo = m_positionals.size() > 1 ? first + " " + m_positionals[1] : first;
        for (const auto& it : commands()) {
            if (it.name != first && it.name != firstTwo)
                continue;
            const auto consumed = it.name == firstTwo && m_positionals.size() > 1 && it.name != first ? 2 : 1;
            m_positionals.erase(m_positionals.begin(), m_positionals.begin() + consumed);
            return (this->*it.command)();
        }
        return reportError(ExitCode::Usage, "unknown command '" + firstTwo + "'; see --help");
    }

    std::optional<std::string> CommandRunner::readFile(const std::string& path)
    {
        auto text = foxtailwheel::readFile(path);
        if (text)
            return std::move(text).value();
        reportError(ExitCode::Usage, text.error().message());
        return std::nullopt;
    }

    std::unique_ptr<ApiClient> CommandRunner::connect(
        const std::string& addressOption, const std::string& tokenFileOption)
    {
        config::Endpoint endpoint;
        if (!config::parseEndpoint(stringOption(addressOption), endpoint)) {
            reportError(ExitCode::Usage, "missing or invalid option --" + addressOption + " IP:PORT");
            return nullptr;
        }
        auto token = readFile(stringOption(tokenFileOption));
        if (!token)
            return nullptr;
        token->erase(token->find_last_not_of(" \r\n") + 1);
        return ApiClient::create(endpoint, *token);
    }

    std::optional<json> CommandRunner::fetchJson(const std::string& target, ExitCode& code)
    {
        const auto client = connect("operators", "token-file");
        code = ExitCode::Usage;
        return client ? fetchJson(*client, target, code) : std::nullopt;
    }

    std::optional<json> CommandRunner::fetchJson(ApiClient& client, const std::string& target, ExitCode& code)
    {
        const auto response = client.send({ "GET", target, {}, {} }, operatorTimeout);
        if (!response.has_value()) {
            code = reportError(ExitCode::Unavailable, response.error().message());
            return std::nullopt;
        }
        auto body = parseJson(response.value().body);
        if (response.value().status != 200) {
            code = reportError(response.value().status == 503 ? ExitCode::Unavailable : ExitCode::Failed,
                textAt(body, "message", "the instance rejected the request"));
            return std::nullopt;
        }
        code = ExitCode::Ok;
        return body;
    }

    ExitCode CommandRunner::showRows(
        const std::string& target, const std::string& key, const std::vector<Column>& columns)
    {
        ExitCode code = ExitCode::Ok;
        const auto body = fetchJson(target, code);
        if (!body)
            return code;
        if (isJsonOutput())
            m_out << body->dump(2) << "\n";
        else
            printTable(m_out, columns, arrayAt(*body, key));
        return ExitCode::Ok;
    }

    /// Fetches one page of records after `--after`, or without it the latest `--limit` records.
    std::optional<json> CommandRunner::fetchRecords(const std::string& target, ExitCode& code)
    {
        const auto limit = m_args["limit"].as<unsigned>();
        auto after = stringOption("after");
        const std::size_t pages = after.empty() ? maxPages : 1;
        json records = json::array();
        for (std::size_t i = 0; i < pages; ++i) {
            const auto body
                = fetchJson(target + "?limit=" + std::to_string(limit) + "&after=" + http::percentEncode(after), code);
            if (!body)
                return std::nullopt;
            const auto& rows = arrayAt(*body, "rows");
            for (const auto& it : rows)
                records.push_back(it["record"]);
            if (rows.size() < limit || rows.empty())
                break;
            after = textAt(rows.back(), "key");
        }
        while (records.size() > limit)
            records.erase(records.begin());
        return records;
    }

    ExitCode CommandRunner::showRecords(const std::string& target, const std::vector<Column>& columns)
    {
        ExitCode code = ExitCode::Ok;
        const auto records = fetchRecords(target, code);
        if (!records)
            return code;
        if (isJsonOutput())
            m_out << records->dump(2) << "\n";
        else
            printTable(m_out, columns, *records);
        return ExitCode::Ok;
    }

    ExitCode CommandRunner::configCheck()
    {
        if (m_positionals.empty())
            return reportError(ExitCode::Usage, "usage: config check FILE");
        const auto text = readFile(m_positionals[0]);
        if (!text)
            return ExitCode::Usage;
        const auto parsed = config::parseDeclarations(*text);
        if (!parsed.valid()) {
            m_err << config::describe(parsed.faults);
            return ExitCode::Invalid;
        }
        m_out << m_positionals[0] << ": valid, " << parsed.declarations.services.size() << " services, "
              << parsed.declarations.pipelines.size() << " pipelines\n";
        return ExitCode::Ok;
    }

    ExitCode CommandRunner::configDiff()
    {
        if (m_positionals.empty())
            return reportError(ExitCode::Usage, "usage: config diff FILE");
        const auto text = readFile(m_positionals[0]);
        if (!text)
            return ExitCode::Usage;
        const auto desired = config::parseDeclarations(*text);
        if (!desired.valid()) {
            m_err << config::describe(desired.faults);
            return ExitCode::Invalid;
        }
        ExitCode code = ExitCode::Ok;
        const auto body = fetchJson("/v1/config", code);
        if (!body)
            return code;
        const auto currentText = textAt(*body, "text");
        const auto current
            = currentText.empty() ? config::ParsedDeclarations() : config::parseDeclarations(currentText);
        for (const auto& it : config::difference(current.declarations, desired.declarations))
            m_out << config::describe(it) << "\n";
        return ExitCode::Ok;
    }

    ExitCode CommandRunner::reportApplyResult(const http::Response& response)
    {
        const auto body = parseJson(response.body);
        if (isJsonOutput())
            m_out << body.dump(2) << "\n";
        if (response.status == 200) {
            if (!isJsonOutput())
                m_out << "accepted as version " << unsignedAt(body, "version") << "\n";
            return ExitCode::Ok;
        }
        reportError(ExitCode::Failed, textAt(body, "message", "the change was rejected"));
        for (const auto& it : arrayAt(body, "faults"))
            m_err << "  " << unsignedAt(it, "line") << ":" << unsignedAt(it, "column") << " " << textAt(it, "path")
                  << ": " << textAt(it, "message") << "\n";
        for (const auto& it : arrayAt(body, "difference"))
            m_err << "  " << (it.is_string() ? it.get<std::string>() : "") << "\n";
        switch (response.status) {
        case 409:
            return ExitCode::Conflict;
        case 422:
            return ExitCode::Invalid;
        case 503:
            return ExitCode::Unavailable;
        case 500:
            return ExitCode::Unknown;
        default:
            return ExitCode::Failed;
        }
    }

    ExitCode CommandRunner::waitUntilActive(ApiClient& client, std::uint64_t version)
    {
        const auto timeout = config::parseDuration(m_args["wait-limit"].as<std::string>());
        const auto startTime = std::chrono::steady_clock::now();
        const auto deadline = startTime + timeout.value();
        std::string laggingInstances;
        while (std::chrono::steady_clock::now() < deadline) {
            const auto response = client.send({ "GET", "/v1/status", {}, {} }, operatorTimeout);
            laggingInstances = response.has_value() ? std::string() : "unreachable";
            const auto body = response.has_value() ? parseJson(response.value().body) : json();
            for (const auto& it : arrayAt(body, "members")) {
                if (unsignedAt(it, "config_version") < version && textAt(it, "state") != "leaving")
                    laggingInstances += (laggingInstances.empty() ? "" : ", ") + textAt(it, "instance");
            }
            if (laggingInstances.empty()) {
                const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - startTime);
                m_out << "version " << version << " in force on " << arrayAt(body, "members").size()
                      << " instances after " << elapsed.count() << " ms\n";
                return ExitCode::Ok;
            }
            std::this_thread::sleep_for(statusPollInterval);
        }
        return reportError(ExitCode::Failed, "accepted, but not yet in force on: " + laggingInstances);
    }

    ExitCode CommandRunner::configApply()
    {
        if (m_positionals.empty())
            return reportError(ExitCode::Usage, "usage: config apply FILE");
        const auto text = readFile(m_positionals[0]);
        const auto client = text ? connect("operators", "token-file") : nullptr;
        if (!client)
            return ExitCode::Usage;
        auto changeId = stringOption("change-id");
        if (changeId.empty())
            changeId = Random(systemSeed()).token();
        json body { { "text", *text }, { "change", changeId }, { "author", m_args["author"].as<std::string>() },
            { "note", stringOption("note") } };
        if (m_args.count("base") > 0)
            body["base"] = m_args["base"].as<std::uint64_t>();
        const auto response = client->send(
            { "POST", "/v1/config", { { "Content-Type", "application/json" } }, body.dump() }, operatorTimeout);
        if (!response.has_value()) {
            const bool ambiguous = response.error().code == make_error_code(Errc::Ambiguous);
            return reportError(ambiguous ? ExitCode::Unknown : ExitCode::Unavailable,
                response.error().message() + (ambiguous ? "; retry with --change-id " + changeId : ""));
        }
        const auto code = reportApplyResult(response.value());
        if (code == ExitCode::Unknown)
            m_err << "  retry with --change-id " << changeId << "\n";
        if (code != ExitCode::Ok || m_args.count("wait") == 0)
            return code;
        return waitUntilActive(*client, unsignedAt(parseJson(response.value().body), "version"));
    }

    ExitCode CommandRunner::configShow()
    {
        ExitCode code = ExitCode::Ok;
        const auto body = fetchJson("/v1/config", code);
        if (!body)
            return code;
        if (isJsonOutput())
            m_out << body->dump(2) << "\n";
        else
            m_out << "# version " << unsignedAt(*body, "version") << "\n" << textAt(*body, "text");
        return ExitCode::Ok;
    }

    ExitCode CommandRunner::configHistory()
    {
        return showRecords("/v1/config/history",
            { { "VERSION", "version" }, { "AUTHOR", "author" }, { "AT_MS", "at_ms" }, { "NOTE", "note" },
                { "SUMMARY", "summary" } });
    }

    ExitCode CommandRunner::status()
    {
        ExitCode code = ExitCode::Ok;
        const auto body = fetchJson("/v1/status", code);
        if (!body)
            return code;
        if (isJsonOutput()) {
            m_out << body->dump(2) << "\n";
            return ExitCode::Ok;
        }
        printTable(m_out,
            { { "INSTANCE", "instance" }, { "ZONE", "zone" }, { "STATE", "state" }, { "CONFIG", "config_version" },
                { "RUNS", "runs" }, { "QUEUED", "queued" }, { "STRAY", "stray_results" } },
            json::array({ *body }));
        m_out << "\n";
        printTable(m_out,
            { { "MEMBER", "instance" }, { "ZONE", "zone" }, { "STATE", "state" }, { "CONFIG", "config_version" } },
            arrayAt(*body, "members"));
        return ExitCode::Ok;
    }

    ExitCode CommandRunner::backends()
    {
        return showRows("/v1/backends", "backends",
            { { "SERVICE", "service" }, { "SERVER", "server" }, { "ZONE", "zone" }, { "ADDRESS", "address" },
                { "LOAD", "load" }, { "OWN", "own_calls" }, { "SUSPECTED", "suspected" }, { "LEAVING", "leaving" },
                { "USED", "used" } });
    }

    ExitCode CommandRunner::accounts()
    {
        return showRows("/v1/accounts", "accounts",
            { { "ACCOUNT", "account" }, { "WEIGHT", "weight" }, { "RATE/S", "rate_per_second" } });
    }

    ExitCode CommandRunner::audit()
    {
        return showRecords("/v1/audit",
            { { "AT_MS", "at_ms" }, { "AUTHOR", "author" }, { "ACTION", "action" }, { "INSTANCE", "instance" },
                { "VERSION", "version" }, { "SUMMARY", "summary" } });
    }

    ExitCode CommandRunner::drain()
    {
        const auto client = connect("operators", "token-file");
        if (!client)
            return ExitCode::Usage;
        const json body { { "author", m_args["author"].as<std::string>() } };
        const auto response = client->send({ "POST", "/v1/drain", {}, body.dump() }, operatorTimeout);
        if (!response.has_value())
            return reportError(ExitCode::Unavailable, response.error().message());
        if (response.value().status != 200)
            return reportError(ExitCode::Failed, response.value().body);
        m_out << (isJsonOutput() ? response.value().body : std::string("draining")) << "\n";
        return ExitCode::Ok;
    }

    ExitCode CommandRunner::place()
    {
        config::Endpoint endpoint;
        if (m_positionals.size() != 2 || !m_positionals[1].starts_with('/'))
            return reportError(ExitCode::Usage, "place requires a host and a path that begins with '/'");
        if (!config::parseEndpoint(stringOption("metrics"), endpoint))
            return reportError(ExitCode::Usage, "missing or invalid option --metrics IP:PORT");
        const PlaceQuery query { m_positionals[0], m_positionals[1], stringOption("prompt"), stringOption("pieces") };
        ExitCode code = ExitCode::Ok;
        const auto placement = fetchJson(*ApiClient::create(endpoint, {}), placeTarget(query), code);
        if (!placement)
            return code;
        if (isJsonOutput())
            m_out << placement->dump(2) << "\n";
        else
            printPlacement(m_out, *placement);
        return ExitCode::Ok;
    }

    ExitCode CommandRunner::explainRequest()
    {
        if (m_positionals.empty())
            return reportError(ExitCode::Usage, "explain requires a request ID");
        std::vector<std::unique_ptr<std::ifstream>> files;
        std::vector<LogSource> sources;
        for (std::size_t i = 1; i < m_positionals.size(); ++i) {
            files.push_back(std::make_unique<std::ifstream>(m_positionals[i]));
            if (!*files.back())
                return reportError(ExitCode::Usage, "cannot read '" + m_positionals[i] + "'");
            sources.push_back({ m_positionals[i], files.back().get() });
        }
        if (sources.empty())
            sources.push_back({ "-", &std::cin });
        const auto timeline = collectTimeline(m_positionals[0], sources);
        json entries = json::array();
        for (const auto& it : timeline.entries)
            entries.push_back(
                { { "time", it.time }, { "process", it.process }, { "event", it.event }, { "fields", it.fields } });
        if (isJsonOutput()) {
            m_out << json { { "request", m_positionals[0] }, { "lines", entries },
                { "missing", timeline.missingLines } }
                         .dump(2)
                  << "\n";
        } else {
            printTable(m_out,
                { { "TIME", "time" }, { "PROCESS", "process" }, { "EVENT", "event" }, { "FIELDS", "fields" } },
                entries);
            if (timeline.missingLines > 0)
                m_out << timeline.missingLines << " lines of these processes are missing in this time\n";
        }
        return timeline.entries.empty()
            ? reportError(ExitCode::Failed, "no log line mentions request '" + m_positionals[0] + "'")
            : ExitCode::Ok;
    }

    ExitCode CommandRunner::reportOutcome(const json& body)
    {
        if (isJsonOutput()) {
            m_out << body.dump(2) << "\n";
        } else {
            m_out << "outcome  " << textAt(body, "outcome")
                  << (body.contains("reason") ? " (" + textAt(body, "reason") + ")" : "") << "\n";
            if (body.contains("message"))
                m_out << "message  " << textAt(body, "message") << "\n";
            if (body.contains("result"))
                m_out << "result   "
                      << (body["result"].is_string() ? body["result"].get<std::string>() : body["result"].dump())
                      << "\n";
            if (!arrayAt(body, "cost").empty())
                printTable(m_out,
                    { { "STAGE", "service" }, { "ATTEMPTS", "attempts" }, { "CALLS_UC", "calls_uc" },
                        { "LINKS_UC", "links_uc" }, { "WASTED_UC", "wasted_uc" } },
                    body["cost"]);
        }
        const auto outcome = textAt(body, "outcome");
        if (outcome == "answered")
            return ExitCode::Ok;
        return outcome == "not_run" ? ExitCode::NotRun : ExitCode::Unknown;
    }

    ExitCode CommandRunner::call()
    {
        if (m_positionals.empty())
            return reportError(ExitCode::Usage, "usage: call PIPELINE --json OBJECT");
        const auto client = connect("callers", "credential-file");
        if (!client)
            return ExitCode::Usage;
        http::Request request { "POST", "/v1/pipelines/" + m_positionals[0] + "/runs",
            { { "Content-Type", "application/json" } }, stringOption("json") };
        if (!stringOption("key").empty())
            request.headers.push_back({ "Idempotency-Key", stringOption("key") });
        if (!stringOption("deadline").empty())
            request.headers.push_back({ "X-Deadline", stringOption("deadline") });
        std::string events;
        std::function<void(std::string_view)> onData;
        if (m_args.count("stream") > 0) {
            request.headers.push_back({ "Accept", "text/event-stream" });
            onData = [&](std::string_view chunk) { events.append(chunk); };
        }
        const auto response = client->send(std::move(request), pipelineCallTimeout, onData);
        if (!response.has_value()) {
            const bool ambiguous = response.error().code == make_error_code(Errc::Ambiguous);
            return reportError(ambiguous ? ExitCode::Unknown : ExitCode::NotRun, response.error().message());
        }
        if (events.empty())
            return reportOutcome(parseJson(response.value().body));
        std::istringstream lines(events);
        json last;
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with("data: "))
                continue;
            last = parseJson(line.substr(6));
            if (!isJsonOutput() && last.contains("text"))
                m_out << textAt(last, "text");
        }
        m_out << (isJsonOutput() ? "" : "\n");
        return reportOutcome(last);
    }

    cxxopts::Options makeOptions()
    {
        cxxopts::Options options("foxtailwheel", "Operator command line tool of the foxtailwheel serving system.\n");
        options.positional_help("COMMAND [ARGUMENT]");
        auto add = options.add_options();
        add("words", "the command and its arguments", cxxopts::value<std::vector<std::string>>());
        add("operators", "address of the operator API of an instance, IP:PORT", cxxopts::value<std::string>());
        add("token-file", "file with the bearer token of the operator API", cxxopts::value<std::string>());
        add("callers", "address of the caller API of an instance, IP:PORT (call)", cxxopts::value<std::string>());
        add("credential-file", "file with the client account's credential (call)", cxxopts::value<std::string>());
        add("output", "output format: table or json", cxxopts::value<std::string>()->default_value("table"));
        add("author", "author of the change or operation (config apply, drain)",
            cxxopts::value<std::string>()->default_value("unknown"));
        add("note", "reason for the change (config apply)", cxxopts::value<std::string>());
        add("base", "version that the change is based on; default: the active version (config apply)",
            cxxopts::value<std::uint64_t>());
        add("change-id", "ID of an earlier change to retry after its response was lost (config apply)",
            cxxopts::value<std::string>());
        add("wait", "wait until the change is active on all live instances (config apply)");
        add("wait-limit", "timeout of --wait", cxxopts::value<std::string>()->default_value("10s"));
        add("limit", "maximum number of rows (config history, audit)", cxxopts::value<unsigned>()->default_value("50"));
        add("after", "show the rows after this key (config history, audit)", cxxopts::value<std::string>());
        add("metrics", "address of the metrics of an instance of foxtailwheel-front, IP:PORT (place)",
            cxxopts::value<std::string>());
        add("prompt", "parts of the prompt, ID:TOKENS with hexadecimal ids, separated by commas (place)",
            cxxopts::value<std::string>());
        add("pieces", "number of pieces of each stage, separated by commas (place)", cxxopts::value<std::string>());
        add("json", "request body, a JSON object (call)", cxxopts::value<std::string>()->default_value("{}"));
        add("key", "value of the Idempotency-Key header (call)", cxxopts::value<std::string>());
        add("deadline", "request deadline, such as 1500ms (call)", cxxopts::value<std::string>());
        add("stream", "stream the response tokens (call)");
        add("h,help", "print this help");
        options.parse_positional({ "words" });
        return options;
    }

    constexpr std::string_view helpFooter = R"(
Commands:
  config check FILE    validate a configuration file and print every error
  config diff FILE     show what applying FILE would change
  config apply FILE    make FILE the active configuration
  config show          print the active configuration
  config history       list accepted changes
  status               show one instance and the members it sees
  backends             list backend servers as seen by one instance
  accounts             list client accounts
  audit                show the audit trail of changes and operations
  drain                shut one instance down gracefully
  call PIPELINE        run a pipeline as a client account
  explain ID [FILE...] show the log entries of one request, from log files or standard input
  place HOST PATH      show where a request would go now, and why, without sending it

Exit codes: 0 done, 1 failed, 2 usage, 3 invalid configuration, 4 conflict, 5 unavailable, 6 not run, 7 unknown.

Examples:
  foxtailwheel config check examples/irish-agency.yaml
  foxtailwheel config apply netting.yaml --operators 10.0.0.5:7201 --token-file token --author mary --wait
  foxtailwheel explain 9c41d07be2a35f68 cork-a-1.log cork-b-2.log
  foxtailwheel place nets.example /plan/ --metrics 10.0.0.5:9464 --prompt 5c1e07a2:800,91bd3f06:410 --pieces 2
  foxtailwheel call answer --callers 10.0.0.5:7200 --credential-file key --json '{"prompt": "nets for May"}' --stream
  foxtailwheel call book --callers 10.0.0.5:7200 --credential-file key --key order-17 --json '{"nets": 4}'
)";

} // namespace

ExitCode runCommand(const std::vector<std::string>& args, std::ostream& out, std::ostream& err)
{
    auto options = makeOptions();
    std::vector<const char*> argv { "foxtailwheel" };
    for (const auto& it : args)
        argv.push_back(it.c_str());
    try {
        const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0) {
            out << options.help() << helpFooter;
            return ExitCode::Ok;
        }
        const auto output = parsed["output"].as<std::string>();
        if (output != "table" && output != "json") {
            err << "foxtailwheel: --output must be table or json\n";
            return ExitCode::Usage;
        }
        if (!config::parseDuration(parsed["wait-limit"].as<std::string>()).has_value()) {
            err << "foxtailwheel: --wait-limit must be a duration such as 500ms or 10s\n";
            return ExitCode::Usage;
        }
        return CommandRunner(parsed, out, err).run();
    } catch (const cxxopts::exceptions::exception& ex) {
        err << "foxtailwheel: " << ex.what() << "\n";
        return ExitCode::Usage;
    }
}

} // namespace foxtailwheel::cli
