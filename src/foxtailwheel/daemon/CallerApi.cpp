#include "CallerApi.h"

#include "CallerRequest.h"
#include "foxtailwheel/telemetry/Log.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace foxtailwheel::daemon {

namespace {

    using nlohmann::json;

    std::string tokenEvent(const pipeline::EmitTokens& tokens)
    {
        std::string text;
        for (const auto& it : tokens.tokens)
            text += it;
        const json data { { "offset", tokens.offset }, { "count", tokens.tokens.size() }, { "text", text } };
        return "event: tokens\ndata: " + data.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
    }

    http::Headers headersOf(const pipeline::Outcome& outcome)
    {
        http::Headers headers { { "Content-Type", "application/json" } };
        if (outcome.retryAfter > Duration {})
            headers.push_back(
                { "Retry-After", std::to_string(static_cast<long>(std::ceil(toSeconds(outcome.retryAfter)))) });
        return headers;
    }

} // namespace

CallerApi::CallerApi(const Clock& clock, serving::Dispatcher& dispatcher, telemetry::Metrics& metrics, Perform perform)
    : m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_metrics(metrics)
    , m_perform(std::move(perform))
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
        responder->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.text() });
    else
        run(request, responder);
}

void CallerApi::run(const http::Request& request, const std::shared_ptr<http::Responder>& responder)
{
    const auto catalog = m_dispatcher.catalog();
    auto read = readCallerRequest(request, catalog.get());
    if (const auto* fault = std::get_if<CallerFault>(&read)) {
        m_metrics.count("foxtailwheel_faulty_requests_total", { { "code", fault->code } });
        responder->respond(faultResponse(*fault));
        return;
    }
    begin(std::move(std::get<serving::SubmitRequest>(read)), responder);
}

void CallerApi::begin(serving::SubmitRequest request, const std::shared_ptr<http::Responder>& responder)
{
    const auto id = m_dispatcher.newRun();
    {
        const std::lock_guard lock(m_mutex);
        auto session = std::make_shared<Session>();
        session->responder = responder;
        session->pipeline = request.pipeline;
        session->since = m_clock.now();
        m_sessions.emplace(id, std::move(session));
    }
    responder->onGone([this, id] { callerGone(id); });
    serving::Actions actions;
    m_dispatcher.submit(id, std::move(request), m_clock.now(), actions);
    m_perform(std::move(actions));
}

void CallerApi::callerGone(RunId run)
{
    serving::Actions actions;
    m_dispatcher.onCallerLeft(run, m_clock.now(), actions);
    m_perform(std::move(actions));
}

bool CallerApi::write(Session& session, const pipeline::EmitTokens& tokens)
{
    if (!std::exchange(session.started, true)) {
        m_metrics.time("foxtailwheel_first_token_seconds", { { "pipeline", session.pipeline.value() } },
            m_clock.now() - session.since);
        session.responder->beginStream(
            { 200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" } }, {} });
    }
    session.nextOffset = tokens.offset + tokens.tokens.size();
    return session.responder->write(tokenEvent(tokens));
}

void CallerApi::emit(const pipeline::EmitTokens& tokens)
{
    const auto session = find(tokens.run);
    if (!session)
        return;
    bool taken = true;
    {
        const std::lock_guard lock(session->mutex);
        session->early.emplace(tokens.offset, tokens);
        for (auto it = session->early.begin();
             taken && it != session->early.end() && it->first == session->nextOffset;) {
            taken = write(*session, it->second);
            it = session->early.erase(it);
        }
    }
    if (!taken)
        callerGone(tokens.run);
}

std::shared_ptr<CallerApi::Session> CallerApi::find(RunId run) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_sessions.find(run);
    return it == m_sessions.end() ? nullptr : it->second;
}

void CallerApi::count(const serving::Reply& reply, const Session& session)
{
    const std::string outcome(toString(reply.outcome.kind));
    const std::string reason(toString(reply.outcome.reason));
    m_metrics.count("foxtailwheel_requests_total",
        { { "pipeline", session.pipeline.value() }, { "outcome", outcome }, { "reason", reason } });
    m_metrics.time(
        "foxtailwheel_request_seconds", { { "pipeline", session.pipeline.value() } }, m_clock.now() - session.since);
    for (const auto& it : reply.costs) {
        const telemetry::Labels labels { { "service", it.service.value() } };
        m_metrics.count("foxtailwheel_stage_attempts_total", labels, it.attempts);
        m_metrics.count("foxtailwheel_stage_cost_microcredits_total", labels,
            static_cast<double>((it.calls + it.links).microCredits));
        m_metrics.count(
            "foxtailwheel_stage_wasted_microcredits_total", labels, static_cast<double>(it.wasted.microCredits));
        m_metrics.count("foxtailwheel_stage_cross_zone_total", labels, it.crossZone);
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
    count(reply, *session);
    const bool answered = reply.outcome.kind == pipeline::OutcomeKind::Answered;
    {
        const std::lock_guard lock(session->mutex);
        if (session->started) {
            session->responder->write(
                std::string(answered ? "event: done" : "event: error") + "\ndata: " + replyBody(reply, false) + "\n\n");
            session->responder->endStream();
        } else {
            session->responder->respond({ statusOf(reply.outcome), headersOf(reply.outcome), replyBody(reply, true) });
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
