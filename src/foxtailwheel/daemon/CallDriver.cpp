#include "CallDriver.h"

#include "LoadHeader.h"
#include "foxtailwheel/backend/Protocol.h"
#include "foxtailwheel/http/RetryAfter.h"
#include "foxtailwheel/telemetry/Log.h"

namespace foxtailwheel::daemon {

namespace {

    using pipeline::CallFailure;

    constexpr std::string_view leavingHeader = "X-Leaving";

    CallFailure toCallFailure(http::TransportOutcome outcome)
    {
        switch (outcome) {
        case http::TransportOutcome::NotSent:
            return CallFailure::NotSent;
        case http::TransportOutcome::TimedOut:
            return CallFailure::TimedOut;
        case http::TransportOutcome::Complete:
        case http::TransportOutcome::ConnectionLost:
        case http::TransportOutcome::Cancelled:
            break;
        }
        return CallFailure::ConnectionLost;
    }

} // namespace

/// A call in progress. Its callbacks run sequentially on the call's strand.
struct CallDriver::ActiveCall {
    pipeline::AttemptId id;
    const backend::Protocol* protocol = nullptr;
    std::unique_ptr<backend::StreamDecoder> decoder;
    ServiceId service;
    BackendServerId server;
    std::shared_ptr<http::Call> httpCall;
    bool ended = false;
};

CallDriver::CallDriver(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher,
    ActionExecutor execute, std::function<void(const BackendServerId&)> onServerLeaving)
    : m_client(client)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_execute(std::move(execute))
    , m_onServerLeaving(std::move(onServerLeaving))
{
}

void CallDriver::send(serving::SendCall call)
{
    auto active = std::make_shared<ActiveCall>();
    active->id = call.call.id;
    active->protocol = &backend::protocolFor(call.call.stage->kind);
    active->decoder = active->protocol->makeStreamDecoder();
    active->service = call.call.stage->service;
    active->server = call.server.id;
    auto request = active->protocol->encode(call, call.call.deadline - m_clock.now());
    if (!call.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", call.idempotencyKey });
    http::CallCallbacks callbacks;
    callbacks.onSendStart = [this, active] { m_dispatcher.onSent(active->id, m_clock.now()); };
    callbacks.onHead = [this, active](const http::Response& head) { onHead(active, head); };
    if (active->decoder)
        callbacks.onData = [this, active](std::string_view chunk) { onData(active, chunk); };
    callbacks.onDone = [this, active](const http::CallResult& result) { onDone(active, result); };
    http::CallRequest httpRequest { { call.server.host, call.server.port }, std::move(request), call.call.sendBy,
        call.call.responseDeadline, call.call.stage->idempotent };
    const std::lock_guard lock(m_mutex);
    m_activeCalls.emplace(active->id, active);
    active->httpCall = m_client.start(std::move(httpRequest), std::move(callbacks));
}

void CallDriver::cancel(const serving::StopCall& stop)
{
    std::shared_ptr<http::Call> httpCall;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_activeCalls.find(stop.id);
        if (it == m_activeCalls.end())
            return;
        httpCall = it->second->httpCall;
    }
    httpCall->cancel();
}

void CallDriver::onHead(const std::shared_ptr<ActiveCall>& call, const http::Response& head)
{
    if (!http::findHeader(head.headers, leavingHeader).empty())
        m_onServerLeaving(call->server);
    if (head.status == 503)
        pauseServer(*call, http::findHeader(head.headers, "Retry-After"));
    routing::LoadReport report;
    report.measuredAt = m_clock.now();
    if (parseLoadHeader(head.headers, report))
        m_dispatcher.onLoadReport(call->service, call->server, report);
}

void CallDriver::pauseServer(const ActiveCall& call, std::string_view retryAfter)
{
    const auto asked = http::parseRetryAfter(retryAfter, m_clock.wallNow());
    if (asked == Duration {})
        return;
    const auto time = m_dispatcher.onServerPaused(call.service, call.server, asked, m_clock.now());
    telemetry::logInfo("server_paused",
        { { "server", call.server.value() }, { "service", call.service.value() },
            { "asked_ms", std::to_string(static_cast<long>(toMilliseconds(asked))) },
            { "pause_ms", std::to_string(static_cast<long>(toMilliseconds(time))) } });
}

void CallDriver::fail(const std::shared_ptr<ActiveCall>& call, CallFailure failure)
{
    call->ended = true;
    serving::Actions actions;
    m_dispatcher.onFailure(call->id, failure, m_clock.now(), actions);
    m_execute(std::move(actions));
}

void CallDriver::onData(const std::shared_ptr<ActiveCall>& call, std::string_view chunk)
{
    for (const auto& event : call->decoder->feed(chunk)) {
        if (call->ended)
            return;
        serving::Actions actions;
        if (const auto* tokens = std::get_if<backend::StreamTokens>(&event)) {
            m_dispatcher.onTokens(call->id, tokens->offset, tokens->tokens, m_clock.now(), actions);
        } else if (const auto* done = std::get_if<backend::StreamDone>(&event)) {
            call->ended = true;
            m_dispatcher.onStreamEnd(call->id, done->total, m_clock.now(), actions);
        } else {
            fail(call, std::get<CallFailure>(event));
        }
        m_execute(std::move(actions));
    }
}

void CallDriver::onDone(const std::shared_ptr<ActiveCall>& call, const http::CallResult& result)
{
    {
        const std::lock_guard lock(m_mutex);
        m_activeCalls.erase(call->id);
    }
    call->httpCall.reset();
    if (call->ended)
        return;
    if (result.outcome != http::TransportOutcome::Complete) {
        telemetry::logDebug("call_failed",
            { { "run", std::to_string(call->id.run.value()) }, { "service", call->service.value() },
                { "server", call->server.value() }, { "detail", result.detail } });
        fail(call, toCallFailure(result.outcome));
        return;
    }
    if (call->decoder && result.response.status == 200) {
        fail(call, CallFailure::Truncated);
        return;
    }
    const auto decoded = call->protocol->decode(result.response);
    if (const auto* failure = std::get_if<CallFailure>(&decoded)) {
        fail(call, *failure);
        return;
    }
    serving::Actions actions;
    m_dispatcher.onAnswer(call->id, std::get<pipeline::Payload>(decoded), m_clock.now(), actions);
    m_execute(std::move(actions));
}

} // namespace foxtailwheel::daemon
