#include "CallDriver.h"

#include "LoadHeader.h"
#include "foxtailwheel/backend/Protocol.h"
#include "foxtailwheel/telemetry/Log.h"

namespace foxtailwheel::daemon {

namespace {

    using pipeline::CallFailure;

    constexpr std::string_view leavingHeader = "X-Leaving";

    CallFailure failureOf(http::CallEnd end)
    {
        switch (end) {
        case http::CallEnd::NotSent:
            return CallFailure::NotSent;
        case http::CallEnd::TimedOut:
            return CallFailure::Silent;
        case http::CallEnd::Complete:
        case http::CallEnd::Broken:
        case http::CallEnd::Cancelled:
            break;
        }
        return CallFailure::Broken;
    }

} // namespace

/// One call in progress. Its events run one after another on the call's strand.
struct CallDriver::Open {
    pipeline::AttemptId id;
    const backend::Protocol* protocol = nullptr;
    std::unique_ptr<backend::StreamDecoder> decoder;
    ServiceId service;
    BackendServerId server;
    std::shared_ptr<http::Call> call;
    bool ended = false;
};

CallDriver::CallDriver(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher, Perform perform,
    std::function<void(const BackendServerId&)> serverLeaving)
    : m_client(client)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_perform(std::move(perform))
    , m_serverLeaving(std::move(serverLeaving))
{
}

void CallDriver::send(serving::SendCall call)
{
    auto open = std::make_shared<Open>();
    open->id = call.call.id;
    open->protocol = &backend::protocolFor(call.call.stage->kind);
    open->decoder = open->protocol->streamDecoder();
    open->service = call.call.stage->service;
    open->server = call.server.id;
    auto request = open->protocol->encode(call, call.call.deadline - m_clock.now());
    if (!call.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", call.idempotencyKey });
    http::CallEvents events;
    events.onFirstByte = [this, open] { m_dispatcher.onSent(open->id, m_clock.now()); };
    events.onHead = [this, open](const http::Response& head) { onHead(open, head); };
    if (open->decoder)
        events.onData = [this, open](std::string_view chunk) { onData(open, chunk); };
    events.onDone = [this, open](const http::CallResult& result) { onDone(open, result); };
    http::CallRequest out { { call.server.host, call.server.port }, std::move(request), call.call.sendBy,
        call.call.giveUpAt, call.call.stage->idempotent };
    const std::lock_guard lock(m_mutex);
    m_open.emplace(open->id, open);
    open->call = m_client.start(std::move(out), std::move(events));
}

void CallDriver::stop(const serving::StopCall& stop)
{
    std::shared_ptr<http::Call> call;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_open.find(stop.id);
        if (it == m_open.end())
            return;
        call = it->second->call;
    }
    call->cancel();
}

void CallDriver::onHead(const std::shared_ptr<Open>& open, const http::Response& head)
{
    if (!http::findHeader(head.headers, leavingHeader).empty())
        m_serverLeaving(open->server);
    routing::LoadReport report;
    report.measuredAt = m_clock.now();
    if (readLoadHeader(head.headers, report))
        m_dispatcher.onLoadReport(open->service, open->server, report);
}

void CallDriver::fail(const std::shared_ptr<Open>& open, CallFailure failure)
{
    open->ended = true;
    serving::Actions actions;
    m_dispatcher.onFailure(open->id, failure, m_clock.now(), actions);
    m_perform(std::move(actions));
}

void CallDriver::onData(const std::shared_ptr<Open>& open, std::string_view chunk)
{
    for (const auto& event : open->decoder->feed(chunk)) {
        if (open->ended)
            return;
        serving::Actions actions;
        if (const auto* tokens = std::get_if<backend::StreamTokens>(&event)) {
            m_dispatcher.onTokens(open->id, tokens->offset, tokens->tokens, m_clock.now(), actions);
        } else if (const auto* done = std::get_if<backend::StreamDone>(&event)) {
            open->ended = true;
            m_dispatcher.onStreamEnd(open->id, done->total, m_clock.now(), actions);
        } else {
            fail(open, std::get<CallFailure>(event));
        }
        m_perform(std::move(actions));
    }
}

void CallDriver::onDone(const std::shared_ptr<Open>& open, const http::CallResult& result)
{
    {
        const std::lock_guard lock(m_mutex);
        m_open.erase(open->id);
    }
    open->call.reset();
    if (open->ended)
        return;
    if (result.end != http::CallEnd::Complete) {
        telemetry::logDebug("call_failed",
            { { "run", std::to_string(open->id.run.value()) }, { "service", open->service.value() },
                { "server", open->server.value() }, { "detail", result.detail } });
        fail(open, failureOf(result.end));
        return;
    }
    if (open->decoder && result.response.status == 200) {
        fail(open, CallFailure::Truncated);
        return;
    }
    const auto answer = open->protocol->decode(result.response);
    if (const auto* failure = std::get_if<CallFailure>(&answer)) {
        fail(open, *failure);
        return;
    }
    serving::Actions actions;
    m_dispatcher.onAnswer(open->id, std::get<pipeline::Payload>(answer), m_clock.now(), actions);
    m_perform(std::move(actions));
}

} // namespace foxtailwheel::daemon
