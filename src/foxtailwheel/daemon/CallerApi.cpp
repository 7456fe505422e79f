#include "CallerApi.h"

#include "CallerRequest.h"
#include "foxtailwheel/telemetry/Log.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace foxtailwheel::daemon {

namespace {

    using nlohmann::json;

    std::string encodeTokenEvent(const pipeline::EmitTokens& tokens)
    {
        std::string text;
        for (const auto& it : tokens.tokens)
            text += it;
        const json data { { "offset", tokens.offset }, { "count", tokens.tokens.size() }, { "text", text } };
        return "event: tokens\ndata: " + data.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
    }

    http::Headers replyHeaders(const pipeline::Outcome& outcome)
    {
        http::Headers headers { { "Content-Type", "application/json" } };
        if (outcome.retryAfter > Duration {})
            headers.push_back(
                { "Retry-After", std::to_string(static_cast<long>(std::ceil(toSeconds(outcome.retryAfter)))) });
        return headers;
    }

} // namespace

CallerApi::CallerApi(
    const Clock& clock, serving::Dispatcher& dispatcher, telemetry::Metrics& metrics, ActionExecutor execute)
    : m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_metrics(metrics)
    , m_execute(std::move(execute))
{
}

void CallerApi::handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder)
{
    const auto path = request.path();
    if (path == "/healthz")
        responder->respond({ 200, {}, "ok\n" });
    else if (path == "/readyz")
        responder->respond({ m_ready ? 200U : 503U, {}, m_ready ? "ready\n" : "not ready\n" });
    else if (path == "/metrics")
        responder->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.serialize() });
    else
        handleRun(request, responder);
}

void CallerApi::handleRun(const http::Request& request, const std::shared_ptr<http::Responder>& responder)
{
    const auto snapshot = m_dispatcher.snapshot();
    auto parsed = parseCallerRequest(request, snapshot.get());
    if (const auto* error = std::get_if<RequestError>(&parsed)) {
        m_metrics.increment("foxtailwheel_faulty_requests_total", { { "code", error->code } });
        responder->respond(requestErrorResponse(*error));
        return;
    }
    startRun(std::move(std::get<serving::SubmitRequest>(parsed)), responder);
}

void CallerApi::startRun(serving::SubmitRequest request, const std::shared_ptr<http::Responder>& responder)
{
    const auto id = m_dispatcher.allocateRunId();
    {
        const std::lock_guard lock(m_mutex);
        auto session = std::make_shared<Session>();
        session->responder = responder;
        session->pipeline = request.pipeline;
        session->startedAt = m_clock.now();
        m_sessions.emplace(id, std::move(session));
    }
    responder->onDisconnect([this, id] { onCallerDisconnected(id); });
    serving::Actions actions;
    m_dispatcher.submit(id, std::move(request), m_clock.now(), actions);
    m_execute(std::move(actions));
}

void CallerApi::onCallerDisconnected(RunId run)
{
    serving::Actions actions;
    m_dispatcher.onCallerDisconnected(run, m_clock.now(), actions);
    m_execute(std::move(actions));
}

bool CallerApi::writeTokens(Session& session, const pipeline::EmitTokens& tokens)
{
    if (!std::exchange(session.streamStarted, true)) {
        m_metrics.observeDuration("foxtailwheel_first_token_seconds", { { "pipeline", session.pipeline.value() } },
            m_clock.now() - session.startedAt);
        session.responder->beginStream(
            { 200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" } }, {} });
    }
    session.nextOffset = tokens.offset + tokens.tokens.size();
    return session.responder->write(encodeTokenEvent(tokens));
}

void CallerApi::emit(const pipeline::EmitTokens& tokens)
{
    const auto session = find(tokens.run);
    if (!session)
        return;
    bool writable = true;
    {
        const std::lock_guard lock(session->mutex);
        session->pendingTokens.emplace(tokens.offset, tokens);
        for (auto it = session->pendingTokens.begin();
             writable && it != session->pendingTokens.end() && it->first == session->nextOffset;) {
            writable = writeTokens(*session, it->second);
            it = session->pendingTokens.erase(it);
        }
    }
    if (!writable)
        onCallerDisconnected(tokens.run);
}

std::shared_ptr<CallerApi::Session> CallerApi::find(RunId run) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_sessions.find(run);
    return it == m_sessions.end() ? nullptr : it->second;
}

void CallerApi::recordMetrics(const serving::Reply& reply, const Session& session)
{
    const std::string outcome(toString(reply.outcome.kind));
    const std::string reason(toString(reply.outcome.reason));
    m_metrics.increment("foxtailwheel_requests_total",
        { { "pipeline", session.pipeline.value() }, { "outcome", outcome }, { "reason", reason } });
    m_metrics.observeDuration("foxtailwheel_request_seconds", { { "pipeline", session.pipeline.value() } },
        m_clock.now() - session.startedAt);
    for (const auto& it : reply.costs) {
        const telemetry::Labels labels { { "service", it.service.value() } };
        m_metrics.increment("foxtailwheel_stage_attempts_total", labels, it.attempts);
        m_metrics.increment("foxtailwheel_stage_cost_microcredits_total", labels,
            static_cast<double>((it.calls + it.links).microCredits));
        m_metrics.increment(
            "foxtailwheel_stage_wasted_microcredits_total", labels, static_cast<double>(it.wasted.microCredits));
        m_metrics.increment("foxtailwheel_stage_cross_zone_total", labels, it.crossZone);
    }
    telemetry::logDebug("run_ended",
        { { "run", std::to_string(reply.run.value()) }, { "pipeline", session.pipeline.value() },
            { "account", reply.account.value() }, { "outcome", outcome }, { "reason", reason } });
}

void CallerApi::reply(const serving::Reply& reply)
{
    const auto session = find(reply.run);
    if (!session)
        return;
    recordMetrics(reply, *session);
    const bool answered = reply.outcome.kind == pipeline::OutcomeKind::Answered;
    {
        const std::lock_guard lock(session->mutex);
        if (session->streamStarted) {
            session->responder->write(
                std::string(answered ? "event: done" : "event: error") + "\ndata: " + replyBody(reply, false) + "\n\n");
            session->responder->endStream();
        } else {
            session->responder->respond(
                { httpStatusOf(reply.outcome), replyHeaders(reply.outcome), replyBody(reply, true) });
        }
    }
    const std::lock_guard lock(m_mutex);
    m_sessions.erase(reply.run);
}

std::size_t CallerApi::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

} // namespace foxtailwheel::daemon
