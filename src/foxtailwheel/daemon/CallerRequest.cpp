#include "CallerRequest.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/config/Quantity.h"

#include <algorithm>

namespace foxtailwheel::daemon {

namespace {

    using nlohmann::json;
    using pipeline::OutcomeKind;
    using pipeline::Reason;

    constexpr std::string_view pathPrefix = "/v1/pipelines/";
    constexpr std::string_view pathSuffix = "/runs";
    constexpr std::size_t maxIdempotencyKeyBytes = 255;
    constexpr std::size_t promptPrefixBytes = 256;

    bool parsePipelinePath(const http::Request& request, PipelineId& id)
    {
        const auto path = request.path();
        if (!path.starts_with(pathPrefix) || !path.ends_with(pathSuffix)
            || path.size() <= pathPrefix.size() + pathSuffix.size())
            return false;
        id = PipelineId(
            std::string(path.substr(pathPrefix.size(), path.size() - pathPrefix.size() - pathSuffix.size())));
        return true;
    }

    const config::ClientAccount* authenticate(const http::Request& request, const serving::ConfigSnapshot& snapshot)
    {
        constexpr std::string_view scheme = "Bearer ";
        const auto value = http::findHeader(request.headers, "Authorization");
        if (!value.starts_with(scheme))
            return nullptr;
        const auto it = snapshot.credentials.find(sha256Hex(value.substr(scheme.size())));
        return it == snapshot.credentials.end() ? nullptr : it->second;
    }

    bool isValidIdempotencyKey(std::string_view key)
    {
        const auto visible = [](unsigned char c) { return c > ' ' && c < 127; };
        return !key.empty() && key.size() <= maxIdempotencyKeyBytes && std::all_of(key.begin(), key.end(), visible);
    }

    /// Parses the optional headers; returns the first error, if any.
    std::optional<RequestError> parseHeaders(
        const http::Request& request, const pipeline::Plan& plan, serving::SubmitRequest& out)
    {
        const auto deadline = http::findHeader(request.headers, "X-Deadline");
        if (!deadline.empty()) {
            const auto timeout = config::parseDuration(deadline);
            if (!timeout.has_value() || timeout.value() <= Duration {})
                return RequestError { 400, "bad_deadline", "X-Deadline must be a duration such as 1500ms" };
            out.timeout = timeout.value();
        }
        const auto key = http::findHeader(request.headers, "Idempotency-Key");
        if (!key.empty() && !isValidIdempotencyKey(key))
            return RequestError { 400, "bad_idempotency_key",
                "Idempotency-Key must be 1 to 255 visible ASCII characters" };
        if (!key.empty())
            out.key = IdempotencyKey(std::string(key));
        if (plan.hasSideEffects() && !out.key)
            return RequestError { 400, "key_missing",
                "this pipeline has side effects: an Idempotency-Key is required" };
        return std::nullopt;
    }

} // namespace

std::variant<serving::SubmitRequest, RequestError> parseCallerRequest(
    const http::Request& request, const serving::ConfigSnapshot* snapshot)
{
    serving::SubmitRequest out;
    if (!parsePipelinePath(request, out.pipeline))
        return RequestError { 404, "unknown_path", "use POST /v1/pipelines/NAME/runs" };
    if (request.method != "POST")
        return RequestError { 405, "method_not_allowed", "use POST" };
    if (snapshot == nullptr)
        return RequestError { 503, "not_ready", "no configuration is active yet" };
    const auto* account = authenticate(request, *snapshot);
    if (account == nullptr)
        return RequestError { 401, "unauthorized", "send the account's credential as `Authorization: Bearer`" };
    out.account = account->id;
    const auto plan = snapshot->plans.find(out.pipeline);
    if (plan == snapshot->plans.end())
        return RequestError { 404, "unknown_pipeline", "no pipeline '" + out.pipeline.value() + "' is declared" };
    const auto body = parseJson(request.body);
    if (!body.is_object())
        return RequestError { 400, "malformed_json", "the body must be a JSON object" };
    if (body.contains("max_tokens") && !body["max_tokens"].is_number_unsigned())
        return RequestError { 400, "bad_max_tokens", "max_tokens must be a non-negative integer" };
    out.stream = http::findHeader(request.headers, "Accept").find("text/event-stream") != std::string_view::npos;
    out.body = pipeline::makePayload(request.body);
    if (body.contains("prompt"))
        out.prefix = hashOf(body["prompt"].dump().substr(0, promptPrefixBytes));
    if (const auto error = parseHeaders(request, *plan->second, out))
        return *error;
    return out;
}

http::Response requestErrorResponse(const RequestError& error)
{
    const json body { { "outcome", "not_run" }, { "reason", error.code }, { "message", error.message } };
    return { error.status, { { "Content-Type", "application/json" } }, body.dump() };
}

unsigned httpStatusOf(const pipeline::Outcome& outcome)
{
    if (outcome.kind == OutcomeKind::Answered)
        return 200;
    if (outcome.reason == Reason::InProgress)
        return 409;
    // Load balancers retry some 502, 503 and 504 responses on their own; 500 keeps them from retrying a request that
    // may have run.
    if (outcome.kind == OutcomeKind::Unknown)
        return 500;
    switch (outcome.reason) {
    case Reason::RateLimited:
        return 429;
    case Reason::DeadlineTooShort:
    case Reason::DeadlineExceeded:
        return 504;
    case Reason::BackendFailed:
        return 502;
    case Reason::BackendRejected:
    case Reason::KeyReused:
        return 422;
    case Reason::KeyMissing:
        return 400;
    default:
        return 503;
    }
}

std::string replyBody(const serving::Reply& reply, bool withResult)
{
    json body { { "run", std::to_string(reply.run.value()) }, { "outcome", toString(reply.outcome.kind) } };
    if (reply.outcome.reason != Reason::None)
        body["reason"] = toString(reply.outcome.reason);
    if (withResult && reply.outcome.answer) {
        auto parsed = parseJson(*reply.outcome.answer);
        body["result"] = parsed.is_discarded() ? json(*reply.outcome.answer) : std::move(parsed);
    }
    body["waited_ms"] = toMilliseconds(reply.queueTime);
    body["cost"] = json::array();
    for (const auto& it : reply.costs) {
        body["cost"].push_back({ { "service", it.service.value() }, { "attempts", it.attempts },
            { "calls_uc", it.calls.microCredits }, { "links_uc", it.links.microCredits },
            { "wasted_uc", it.wasted.microCredits }, { "cross_zone", it.crossZone } });
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace foxtailwheel::daemon
