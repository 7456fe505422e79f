#include "OperatorApi.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/telemetry/Log.h"

#include <charconv>
#include <openssl/crypto.h>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;
    using nlohmann::json;

    constexpr Duration tableTimeout = 2s;
    constexpr std::uint64_t maxRows = 1000;
    constexpr std::size_t defaultRows = 50;

    http::Response jsonResponse(unsigned status, const json& body)
    {
        return { status, { { "Content-Type", "application/json" } },
            body.dump(-1, ' ', false, json::error_handler_t::replace) };
    }

    http::Response errorResponse(unsigned status, const std::string& code, const std::string& message)
    {
        return jsonResponse(status, { { "error", code }, { "message", message } });
    }

    json errorsJson(const config::Faults& faults)
    {
        json rows = json::array();
        for (const auto& it : faults)
            rows.push_back({ { "line", it.line }, { "column", it.column }, { "path", it.path },
                { "message", it.message }, { "suggestion", it.suggestion } });
        return rows;
    }

    std::vector<std::string> describeChanges(const std::string& before, const std::string& after)
    {
        const auto previous = before.empty() ? config::ParsedDeclarations() : config::parseDeclarations(before);
        std::vector<std::string> lines;
        for (const auto& it : config::difference(previous.declarations, config::parseDeclarations(after).declarations))
            lines.push_back(config::describe(it));
        return lines;
    }

    std::uint64_t parseNumber(const std::string& text, std::uint64_t fallback)
    {
        std::uint64_t n = fallback;
        std::from_chars(text.data(), text.data() + text.size(), n);
        return n;
    }

} // namespace

OperatorApi::OperatorApi(const config::Settings& settings, const Clock& clock, serving::Dispatcher& dispatcher,
    ConfigService& configs, store::Table& table, OperatorHooks hooks)
    : m_settings(settings)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_configs(configs)
    , m_table(table)
    , m_hooks(std::move(hooks))
{
}

const std::vector<OperatorApi::RouteEntry>& OperatorApi::routes()
{
    static const std::vector<RouteEntry> table {
        { "GET", "/v1/status", &OperatorApi::status },
        { "GET", "/v1/backends", &OperatorApi::backends },
        { "GET", "/v1/accounts", &OperatorApi::accounts },
        { "GET", "/v1/config", &OperatorApi::showConfig },
        { "POST", "/v1/config", &OperatorApi::applyConfig },
        { "GET", "/v1/config/history", &OperatorApi::history },
        { "GET", "/v1/audit", &OperatorApi::audit },
        { "POST", "/v1/drain", &OperatorApi::drain },
    };
    return table;
}

bool OperatorApi::authorized(const http::Request& request) const
{
    const auto received = sha256Hex(http::findHeader(request.headers, "Authorization"));
    const auto expected = sha256Hex("Bearer " + m_settings.operatorToken);
    return CRYPTO_memcmp(received.data(), expected.data(), expected.size()) == 0;
}

void OperatorApi::handle(const http::Request& request, const ResponderPtr& responder)
{
    if (!authorized(request)) {
        responder->respond(errorResponse(401, "unauthorized", "send the operators' token as `Authorization: Bearer`"));
        return;
    }
    for (const auto& it : routes()) {
        if (it.method == request.method && it.path == request.path()) {
            (this->*it.route)(request, responder);
            return;
        }
    }
    responder->respond(errorResponse(404, "unknown_path", "no such operation"));
}

void OperatorApi::status(const http::Request& /*request*/, const ResponderPtr& responder)
{
    const auto counts = m_dispatcher.status();
    json members = json::array();
    for (const auto& it : m_hooks.members())
        members.push_back({ { "instance", it.id.value() }, { "zone", it.zone.value() }, { "state", it.state },
            { "config_version", it.version.value() } });
    responder->respond(jsonResponse(200,
        { { "instance", m_settings.instance.value() }, { "zone", m_settings.zone.value() },
            { "state", m_hooks.state() }, { "config_version", m_configs.version().value() }, { "runs", counts.runs },
            { "queued", counts.queued }, { "stray_results", counts.unmatchedResults }, { "members", members } }));
}

void OperatorApi::backends(const http::Request& /*request*/, const ResponderPtr& responder)
{
    json rows = json::array();
    const auto snapshot = m_dispatcher.snapshot();
    if (snapshot) {
        for (const auto& service : snapshot->declarations->services) {
            for (const auto& it : snapshot->pools.at(service.id)->status()) {
                rows.push_back({ { "service", service.id.value() }, { "server", it.server.id.value() },
                    { "zone", it.server.zone.value() },
                    { "address", it.server.host + ":" + std::to_string(it.server.port) }, { "load", it.load },
                    { "own_calls", it.ownCalls }, { "suspected", it.suspected }, { "leaving", it.leaving },
                    { "used", it.inSubset }, { "call_ms", toMilliseconds(it.callTime) } });
            }
        }
    }
    responder->respond(jsonResponse(200, { { "backends", rows } }));
}

void OperatorApi::accounts(const http::Request& /*request*/, const ResponderPtr& responder)
{
    json rows = json::array();
    if (const auto snapshot = m_dispatcher.snapshot()) {
        for (const auto& it : snapshot->declarations->accounts)
            rows.push_back(
                { { "account", it.id.value() }, { "weight", it.weight }, { "rate_per_second", it.ratePerSecond } });
    }
    responder->respond(jsonResponse(200, { { "accounts", rows } }));
}

void OperatorApi::showConfig(const http::Request& /*request*/, const ResponderPtr& responder)
{
    const auto current = m_configs.activeConfig();
    responder->respond(jsonResponse(
        200, { { "version", current.version.value() }, { "hash", current.hash }, { "text", current.text } }));
}

void OperatorApi::applyConfig(const http::Request& request, const ResponderPtr& responder)
{
    const auto body = parseJson(request.body);
    control::ConfigChangeRequest change;
    change.text = textAt(body, "text");
    change.id = control::ChangeId(textAt(body, "change"));
    change.author = textAt(body, "author");
    change.note = textAt(body, "note");
    const auto current = m_configs.activeConfig();
    change.base = ConfigVersion(unsignedAt(body, "base", current.version.value()));
    if (change.text.empty() || change.id.empty() || change.author.empty()) {
        responder->respond(errorResponse(400, "bad_change", "text, change and author are required"));
        return;
    }
    const auto parsed = config::parseDeclarations(change.text);
    if (!parsed.valid()) {
        responder->respond(jsonResponse(422,
            { { "error", "invalid_config" }, { "message", "the configuration text has errors" },
                { "faults", errorsJson(parsed.faults) } }));
        return;
    }
    change.summary = describeChanges(current.text, change.text);
    if (change.base == current.version)
        change.baseText = current.text;
    const auto copy = change;
    m_configs.apply(std::move(change), [this, copy, responder](const control::ApplyResult& result) {
        telemetry::logInfo("config_apply",
            { { "change", copy.id.value() }, { "author", copy.author },
                { "end", std::to_string(static_cast<int>(result.status)) } });
        switch (result.status) {
        case control::ApplyStatus::Accepted:
            responder->respond(
                jsonResponse(200, { { "version", result.version.value() }, { "summary", copy.summary } }));
            return;
        case control::ApplyStatus::Conflict:
            respondConflict(copy, result, responder);
            return;
        case control::ApplyStatus::Unavailable:
            responder->respond(errorResponse(503, "table_unavailable", "not accepted: the table is unavailable"));
            return;
        case control::ApplyStatus::Ambiguous:
            responder->respond(
                errorResponse(500, "ambiguous", "the change may have been accepted: retry with the same change id"));
            return;
        }
    });
}

void OperatorApi::respondConflict(
    const control::ConfigChangeRequest& change, const control::ApplyResult& result, const ResponderPtr& responder)
{
    const auto key = control::configTextKey(result.version);
    m_table.read(key, m_clock.now() + tableTimeout, [change, result, responder](const store::ReadResult& read) {
        json body { { "error", "conflict" },
            { "message", "another change came first: edit version " + std::to_string(result.version.value()) },
            { "base", change.base.value() }, { "version", result.version.value() } };
        if (!read.rows.empty())
            body["difference"] = describeChanges(read.rows.front().value, change.text);
        responder->respond(jsonResponse(409, body));
    });
}

void OperatorApi::respondRows(std::string prefix, const http::Request& request, const ResponderPtr& responder)
{
    const auto limit = std::min(parseNumber(request.query("limit"), defaultRows), maxRows);
    m_table.scan(std::move(prefix), request.query("after"), limit, m_clock.now() + tableTimeout,
        [responder](const store::ReadResult& result) {
            if (!result.succeeded) {
                responder->respond(errorResponse(503, "table_unavailable", "the table is unavailable"));
                return;
            }
            json rows = json::array();
            for (const auto& it : result.rows) {
                auto row = parseJson(it.value);
                rows.push_back({ { "key", it.key }, { "record", row.is_discarded() ? json() : std::move(row) } });
            }
            responder->respond(jsonResponse(200, { { "rows", rows } }));
        });
}

void OperatorApi::history(const http::Request& request, const ResponderPtr& responder)
{
    // Without `after`, the latest changes are returned.
    const auto limit = std::min(parseNumber(request.query("limit"), defaultRows), maxRows);
    const auto current = m_configs.version().value();
    auto adjusted = request;
    if (request.query("after").empty() && current > limit)
        adjusted.target = "/?limit=" + std::to_string(limit)
            + "&after=" + http::percentEncode(control::configChangeKey(ConfigVersion(current - limit)));
    respondRows("config/change/", adjusted, responder);
}

void OperatorApi::audit(const http::Request& request, const ResponderPtr& responder)
{
    respondRows("audit/", request, responder);
}

void OperatorApi::drain(const http::Request& request, const ResponderPtr& responder)
{
    const auto body = parseJson(request.body);
    const auto author = textAt(body, "author", "unknown");
    const auto at = m_clock.wallNow().time_since_epoch().count();
    const json record { { "action", "drain" }, { "instance", m_settings.instance.value() }, { "author", author },
        { "at_ms", at } };
    const auto key = control::auditKey(m_clock.wallNow(), m_settings.instance.value());
    m_table.transact({ { { key, std::nullopt } }, { { key, record.dump() } } }, m_clock.now() + tableTimeout,
        [this, responder](const store::TransactResult& result) {
            const bool recorded = result.outcome == store::TransactOutcome::Applied;
            responder->respond(jsonResponse(200, { { "draining", true }, { "recorded", recorded } }));
            m_hooks.drain();
        });
}

} // namespace foxtailwheel::daemon
