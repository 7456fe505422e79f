#include "foxtailwheel/cli/Commands.h"

#include "foxtailwheel/base/File.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/cli/ApiClient.h"
#include "foxtailwheel/cli/Explain.h"
#include "foxtailwheel/cli/Output.h"
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
    constexpr Duration callTimeout = 11min;
    constexpr auto waitPeriod = 200ms;
    /// Pages read to find the latest records.
    constexpr std::size_t mostPages = 1000;

    /// One command line being run.
    class Session {
    public:
        Session(const cxxopts::ParseResult& args, std::ostream& out, std::ostream& err)
            : m_args(args)
            , m_words(m_args.count("words") > 0 ? m_args["words"].as<std::vector<std::string>>()
                                                : std::vector<std::string>())
            , m_out(out)
            , m_err(err)
        {
        }

        ExitCode run();

    private:
        using Command = ExitCode (Session::*)();

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

        bool wantsJson() const { return m_args["output"].as<std::string>() == "json"; }
        std::string textOption(const std::string& name) const
        {
            return m_args.count(name) > 0 ? m_args[name].as<std::string>() : std::string();
        }
        ExitCode complain(ExitCode code, const std::string& message);
        std::optional<std::string> readFile(const std::string& path);
        std::unique_ptr<ApiClient> connect(const std::string& addressOption, const std::string& secretOption);
        std::optional<json> get(const std::string& target, ExitCode& code);
        ExitCode showRows(const std::string& target, const std::string& key, const std::vector<Column>& columns);
        std::optional<json> records(const std::string& target, ExitCode& code);
        ExitCode showRecords(const std::string& target, const std::vector<Column>& columns);
        ExitCode sayApplied(const http::Response& response);
        ExitCode waitInForce(ApiClient& client, std::uint64_t version);
        ExitCode sayOutcome(const json& body);

        cxxopts::ParseResult m_args;
        std::vector<std::string> m_words;
        std::ostream& m_out;
        std::ostream& m_err;
    };

    const std::vector<Session::CommandEntry>& Session::commands()
    {
        static const std::vector<CommandEntry> table {
            { "config check", &Session::configCheck },
            { "config diff", &Session::configDiff },
            { "config apply", &Session::configApply },
            { "config show", &Session::configShow },
            { "config history", &Session::configHistory },
            { "status", &Session::status },
            { "backends", &Session::backends },
            { "accounts", &Session::accounts },
            { "audit", &Session::audit },
            { "drain", &Session::drain },
            { "call", &Session::call },
            { "explain", &Session::explainRequest },
        };
        return table;
    }

    ExitCode Session::complain(ExitCode code, const std::string& message)
    {
        m_err << "foxtailwheel: " << message << "\n";
        return code;
    }

    ExitCode Session::run()
    {
        if (m_words.empty())
            return complain(ExitCode::Usage, "a command is needed; see --help");
        const auto first = m_words[0];
        const auto both = m_words.size() > 1 ? first + " " + m_words[1] : first;
        for (const auto& it : commands()) {
            if (it.name != first && it.name != both)
                continue;
            const auto used = it.name == both && m_words.size() > 1 && it.name != first ? 2 : 1;
            m_words.erase(m_words.begin(), m_words.begin() + used);
            return (this->*it.command)();
        }
        return complain(ExitCode::Usage, "no command '" + both + "'; see --help");
    }

    std::optional<std::string> Session::readFile(const std::string& path)
    {
        auto text = foxtailwheel::readFile(path);
        if (text)
            return std::move(text).value();
        complain(ExitCode::Usage, text.error().message());
        return std::nullopt;
    }

    std::unique_ptr<ApiClient> Session::connect(const std::string& addressOption, const std::string& secretOption)
    {
        config::Endpoint endpoint;
        if (!config::parseEndpoint(textOption(addressOption), endpoint)) {
            complain(ExitCode::Usage, "--" + addressOption + " IP:PORT is needed");
            return nullptr;
        }
        auto secret = readFile(textOption(secretOption));
        if (!secret)
            return nullptr;
        secret->erase(secret->find_last_not_of(" \r\n") + 1);
        return ApiClient::create(endpoint, *secret);
    }

    std::optional<json> Session::get(const std::string& target, ExitCode& code)
    {
        const auto client = connect("operators", "token-file");
        code = ExitCode::Usage;
        if (!client)
            return std::nullopt;
        const auto response = client->send({ "GET", target, {}, {} }, operatorTimeout);
        if (!response.has_value()) {
            code = complain(ExitCode::Unavailable, response.error().message());
            return std::nullopt;
        }
        auto body = json::parse(response.value().body, nullptr, false);
        if (response.value().status != 200) {
            code = complain(response.value().status == 503 ? ExitCode::Unavailable : ExitCode::Failed,
                textAt(body, "message", "the instance refused"));
            return std::nullopt;
        }
        code = ExitCode::Ok;
        return body;
    }

    ExitCode Session::showRows(const std::string& target, const std::string& key, const std::vector<Column>& columns)
    {
        ExitCode code = ExitCode::Ok;
        const auto body = get(target, code);
        if (!body)
            return code;
        if (wantsJson())
            m_out << body->dump(2) << "\n";
        else
            printTable(m_out, columns, arrayAt(*body, key));
        return ExitCode::Ok;
    }

    /// Reads the records after `--after`; without it, the latest ones.
    std::optional<json> Session::records(const std::string& target, ExitCode& code)
    {
        const auto limit = m_args["limit"].as<unsigned>();
        auto after = textOption("after");
        const std::size_t pages = after.empty() ? mostPages : 1;
        json kept = json::array();
        for (std::size_t i = 0; i < pages; ++i) {
            const auto body
                = get(target + "?limit=" + std::to_string(limit) + "&after=" + http::percentEncode(after), code);
            if (!body)
                return std::nullopt;
            const auto& rows = arrayAt(*body, "rows");
            for (const auto& it : rows)
                kept.push_back(it["record"]);
            if (rows.size() < limit || rows.empty())
                break;
            after = textAt(rows.back(), "key");
        }
        while (kept.size() > limit)
            kept.erase(kept.begin());
        return kept;
    }

    ExitCode Session::showRecords(const std::string& target, const std::vector<Column>& columns)
    {
        ExitCode code = ExitCode::Ok;
        const auto shown = records(target, code);
        if (!shown)
            return code;
        if (wantsJson())
            m_out << shown->dump(2) << "\n";
        else
            printTable(m_out, columns, *shown);
        return ExitCode::Ok;
    }

    ExitCode Session::configCheck()
    {
        if (m_words.empty())
            return complain(ExitCode::Usage, "config check FILE");
        const auto text = readFile(m_words[0]);
        if (!text)
            return ExitCode::Usage;
        const auto parsed = config::parseDeclarations(*text);
        if (!parsed.valid()) {
            m_err << config::describe(parsed.faults);
            return ExitCode::Invalid;
        }
        m_out << m_words[0] << ": valid, " << parsed.declarations.services.size() << " services, "
              << parsed.declarations.pipelines.size() << " pipelines\n";
        return ExitCode::Ok;
    }

    ExitCode Session::configDiff()
    {
        if (m_words.empty())
            return complain(ExitCode::Usage, "config diff FILE");
        const auto text = readFile(m_words[0]);
        if (!text)
            return ExitCode::Usage;
        const auto wanted = config::parseDeclarations(*text);
        if (!wanted.valid()) {
            m_err << config::describe(wanted.faults);
            return ExitCode::Invalid;
        }
        ExitCode code = ExitCode::Ok;
        const auto body = get("/v1/config", code);
        if (!body)
            return code;
        const auto current = textAt(*body, "text");
        const auto before = current.empty() ? config::ParsedDeclarations() : config::parseDeclarations(current);
        for (const auto& it : config::difference(before.declarations, wanted.declarations))
            m_out << config::describe(it) << "\n";
        return ExitCode::Ok;
    }

    ExitCode Session::sayApplied(const http::Response& response)
    {
        const auto body = json::parse(response.body, nullptr, false);
        if (wantsJson())
            m_out << body.dump(2) << "\n";
        if (response.status == 200) {
            if (!wantsJson())
                m_out << "accepted as version " << countAt(body, "version") << "\n";
            return ExitCode::Ok;
        }
        complain(ExitCode::Failed, textAt(body, "message", "the change was refused"));
        for (const auto& it : arrayAt(body, "faults"))
            m_err << "  " << countAt(it, "line") << ":" << countAt(it, "column") << " " << textAt(it, "path") << ": "
                  << textAt(it, "message") << "\n";
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

    ExitCode Session::waitInForce(ApiClient& client, std::uint64_t version)
    {
        const auto limit = config::parseDuration(m_args["wait-limit"].as<std::string>());
        const auto started = std::chrono::steady_clock::now();
        const auto until = started + (limit.has_value() ? limit.value() : Duration(10s));
        std::string behind;
        while (std::chrono::steady_clock::now() < until) {
            const auto response = client.send({ "GET", "/v1/status", {}, {} }, operatorTimeout);
            behind = response.has_value() ? std::string() : "unreachable";
            const auto body = response.has_value() ? json::parse(response.value().body, nullptr, false) : json();
            for (const auto& it : arrayAt(body, "members")) {
                if (countAt(it, "config_version") < version && textAt(it, "state") != "leaving")
                    behind += (behind.empty() ? "" : ", ") + textAt(it, "instance");
            }
            if (behind.empty()) {
                const auto took
                    = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started);
                m_out << "version " << version << " in force on " << arrayAt(body, "members").size()
                      << " instances after " << took.count() << " ms\n";
                return ExitCode::Ok;
            }
            std::this_thread::sleep_for(waitPeriod);
        }
        return complain(ExitCode::Failed, "accepted, but not yet in force on: " + behind);
    }

    ExitCode Session::configApply()
    {
        if (m_words.empty())
            return complain(ExitCode::Usage, "config apply FILE");
        const auto text = readFile(m_words[0]);
        const auto client = text ? connect("operators", "token-file") : nullptr;
        if (!client)
            return ExitCode::Usage;
        auto change = textOption("change-id");
        if (change.empty())
            change = Random(systemSeed()).token();
        json body { { "text", *text }, { "change", change }, { "author", m_args["author"].as<std::string>() },
            { "note", textOption("note") } };
        if (m_args.count("base") > 0)
            body["base"] = m_args["base"].as<std::uint64_t>();
        const auto response = client->send(
            { "POST", "/v1/config", { { "Content-Type", "application/json" } }, body.dump() }, operatorTimeout);
        if (!response.has_value()) {
            const bool lost = response.error().code == make_error_code(Errc::Ambiguous);
            return complain(lost ? ExitCode::Unknown : ExitCode::Unavailable,
                response.error().message() + (lost ? "; apply again with --change-id " + change : ""));
        }
        const auto code = sayApplied(response.value());
        if (code == ExitCode::Unknown)
            m_err << "  apply again with --change-id " << change << "\n";
        if (code != ExitCode::Ok || m_args.count("wait") == 0)
            return code;
        return waitInForce(*client, countAt(json::parse(response.value().body, nullptr, false), "version"));
    }

    ExitCode Session::configShow()
    {
        ExitCode code = ExitCode::Ok;
        const auto body = get("/v1/config", code);
        if (!body)
            return code;
        if (wantsJson())
            m_out << body->dump(2) << "\n";
        else
            m_out << "# version " << countAt(*body, "version") << "\n" << textAt(*body, "text");
        return ExitCode::Ok;
    }

    ExitCode Session::configHistory()
    {
        return showRecords("/v1/config/history",
            { { "VERSION", "version" }, { "AUTHOR", "author" }, { "AT_MS", "at_ms" }, { "NOTE", "note" },
                { "SUMMARY", "summary" } });
    }

    ExitCode Session::status()
    {
        ExitCode code = ExitCode::Ok;
        const auto body = get("/v1/status", code);
        if (!body)
            return code;
        if (wantsJson()) {
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

    ExitCode Session::backends()
    {
        return showRows("/v1/backends", "backends",
            { { "SERVICE", "service" }, { "SERVER", "server" }, { "ZONE", "zone" }, { "ADDRESS", "address" },
                { "LOAD", "load" }, { "OWN", "own_calls" }, { "SUSPECTED", "suspected" }, { "LEAVING", "leaving" },
                { "USED", "used" } });
    }

    ExitCode Session::accounts()
    {
        return showRows("/v1/accounts", "accounts",
            { { "ACCOUNT", "account" }, { "WEIGHT", "weight" }, { "RATE/S", "rate_per_second" } });
    }

    ExitCode Session::audit()
    {
        return showRecords("/v1/audit",
            { { "AT_MS", "at_ms" }, { "AUTHOR", "author" }, { "ACTION", "action" }, { "INSTANCE", "instance" },
                { "VERSION", "version" }, { "SUMMARY", "summary" } });
    }

    ExitCode Session::drain()
    {
        const auto client = connect("operators", "token-file");
        if (!client)
            return ExitCode::Usage;
        const json body { { "author", m_args["author"].as<std::string>() } };
        const auto response = client->send({ "POST", "/v1/drain", {}, body.dump() }, operatorTimeout);
        if (!response.has_value())
            return complain(ExitCode::Unavailable, response.error().message());
        if (response.value().status != 200)
            return complain(ExitCode::Failed, response.value().body);
        m_out << (wantsJson() ? response.value().body : std::string("draining")) << "\n";
        return ExitCode::Ok;
    }

    ExitCode Session::explainRequest()
    {
        if (m_words.empty())
            return complain(ExitCode::Usage, "explain needs the id of a request");
        std::vector<std::unique_ptr<std::ifstream>> files;
        std::vector<LogSource> sources;
        for (std::size_t i = 1; i < m_words.size(); ++i) {
            files.push_back(std::make_unique<std::ifstream>(m_words[i]));
            if (!*files.back())
                return complain(ExitCode::Usage, "cannot read '" + m_words[i] + "'");
            sources.push_back({ m_words[i], files.back().get() });
        }
        if (sources.empty())
            sources.push_back({ "-", &std::cin });
        const auto story = explain(m_words[0], sources);
        json lines = json::array();
        for (const auto& it : story.lines)
            lines.push_back(
                { { "time", it.time }, { "process", it.process }, { "event", it.event }, { "fields", it.fields } });
        if (wantsJson()) {
            m_out << json { { "request", m_words[0] }, { "lines", lines }, { "missing", story.missing } }.dump(2)
                  << "\n";
        } else {
            printTable(m_out,
                { { "TIME", "time" }, { "PROCESS", "process" }, { "EVENT", "event" }, { "FIELDS", "fields" } }, lines);
            if (story.missing > 0)
                m_out << story.missing << " lines of these processes are missing in this time\n";
        }
        return story.lines.empty() ? complain(ExitCode::Failed, "no line touches request '" + m_words[0] + "'")
                                   : ExitCode::Ok;
    }

    ExitCode Session::sayOutcome(const json& body)
    {
        if (wantsJson()) {
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

    ExitCode Session::call()
    {
        if (m_words.empty())
            return complain(ExitCode::Usage, "call PIPELINE --json OBJECT");
        const auto client = connect("callers", "credential-file");
        if (!client)
            return ExitCode::Usage;
        http::Request request { "POST", "/v1/pipelines/" + m_words[0] + "/runs",
            { { "Content-Type", "application/json" } }, textOption("json") };
        if (!textOption("key").empty())
            request.headers.push_back({ "Idempotency-Key", textOption("key") });
        if (!textOption("deadline").empty())
            request.headers.push_back({ "X-Deadline", textOption("deadline") });
        std::string events;
        std::function<void(std::string_view)> onData;
        if (m_args.count("stream") > 0) {
            request.headers.push_back({ "Accept", "text/event-stream" });
            onData = [&](std::string_view chunk) { events.append(chunk); };
        }
        const auto response = client->send(std::move(request), callTimeout, onData);
        if (!response.has_value()) {
            const bool lost = response.error().code == make_error_code(Errc::Ambiguous);
            return complain(lost ? ExitCode::Unknown : ExitCode::NotRun, response.error().message());
        }
        if (events.empty())
            return sayOutcome(json::parse(response.value().body, nullptr, false));
        std::istringstream lines(events);
        json last;
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with("data: "))
                continue;
            last = json::parse(line.substr(6), nullptr, false);
            if (!wantsJson() && last.contains("text"))
                m_out << textAt(last, "text");
        }
        m_out << (wantsJson() ? "" : "\n");
        return sayOutcome(last);
    }

    cxxopts::Options makeOptions()
    {
        cxxopts::Options options("foxtailwheel", "Operators' tool of the foxtailwheel serving system.\n");
        options.positional_help("COMMAND [ARGUMENT]");
        auto add = options.add_options();
        add("words", "command and its arguments", cxxopts::value<std::vector<std::string>>());
        add("operators", "operators' address of an instance, IP:PORT", cxxopts::value<std::string>());
        add("token-file", "file with the operators' token", cxxopts::value<std::string>());
        add("callers", "callers' address of an instance, IP:PORT (call)", cxxopts::value<std::string>());
        add("credential-file", "file with the client account's credential (call)", cxxopts::value<std::string>());
        add("output", "table or json", cxxopts::value<std::string>()->default_value("table"));
        add("author", "who makes the change (config apply, drain)",
            cxxopts::value<std::string>()->default_value("unknown"));
        add("note", "why the change is made (config apply)", cxxopts::value<std::string>());
        add("base", "version that was edited; the one in force where it is left out (config apply)",
            cxxopts::value<std::uint64_t>());
        add("change-id", "repeats a change whose answer was lost (config apply)", cxxopts::value<std::string>());
        add("wait", "wait until the change is in force on all live instances (config apply)");
        add("wait-limit", "longest wait", cxxopts::value<std::string>()->default_value("10s"));
        add("limit", "rows at most (config history, audit)", cxxopts::value<unsigned>()->default_value("50"));
        add("after", "rows after this key (config history, audit)", cxxopts::value<std::string>());
        add("json", "the request, a JSON object (call)", cxxopts::value<std::string>()->default_value("{}"));
        add("key", "Idempotency-Key (call)", cxxopts::value<std::string>());
        add("deadline", "deadline such as 1500ms (call)", cxxopts::value<std::string>());
        add("stream", "stream the tokens (call)");
        add("h,help", "print this help");
        options.parse_positional({ "words" });
        return options;
    }

    constexpr std::string_view helpTail = R"(
Commands:
  config check FILE    check declarations; all faults are printed
  config diff FILE     what FILE would change
  config apply FILE    make FILE the configuration
  config show          the configuration in force
  config history       accepted changes
  status               one instance and its members
  backends             backend servers as one instance sees them
  accounts             client accounts
  audit                audit trail of changes and operations
  drain                shut one instance down gracefully
  call PIPELINE        run a pipeline as a client account
  explain ID [FILE...] the story of one request from log files, or from standard input

Exit codes: 0 done, 1 failed, 2 usage, 3 invalid configuration, 4 conflict, 5 unavailable, 6 not run, 7 unknown.

Examples:
  foxtailwheel config check examples/irish-agency.yaml
  foxtailwheel config apply netting.yaml --operators 10.0.0.5:7201 --token-file token --author mary --wait
  foxtailwheel explain 9c41d07be2a35f68 cork-a-1.log cork-b-2.log
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
            out << options.help() << helpTail;
            return ExitCode::Ok;
        }
        const auto output = parsed["output"].as<std::string>();
        if (output != "table" && output != "json") {
            err << "foxtailwheel: --output is table or json\n";
            return ExitCode::Usage;
        }
        return Session(parsed, out, err).run();
    } catch (const cxxopts::exceptions::exception& ex) {
        err << "foxtailwheel: " << ex.what() << "\n";
        return ExitCode::Usage;
    }
}

} // namespace foxtailwheel::cli
