#include "foxtailwheel/daemon/ForwardService.h"

#include "foxtailwheel/telemetry/Log.h"

#include <map>
#include <unordered_map>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;
    using backend::HeadVerdict;
    using serving::CallId;
    using serving::ForwardCallEnd;
    using serving::ForwardId;

    /// Longest time for a connection to a backend server: above a round trip between zones, below a lost packet's
    /// repetition, which comes after a second.
    constexpr Duration connectLimit = 250ms;
    /// Releases of results wait this long for others to the same server; more would hold room that waiting pieces need.
    constexpr Duration releaseDelay = 5ms;
    constexpr Duration releaseLimit = 1s;

    struct Session {
        std::shared_ptr<http::Responder> responder;
        TimePoint since;
    };

    struct OpenCall {
        std::shared_ptr<http::Call> call;
        serving::SendForward sent;
        std::optional<HeadVerdict> verdict;
        bool streaming = false;
    };

} // namespace

struct ForwardService::Impl : std::enable_shared_from_this<ForwardService::Impl> {
    Impl(http::IoPool& p, http::Client& c, const Clock& cl, const backend::ForwardProtocol& pr, telemetry::Metrics& m,
        serving::ForwarderOptions options)
        : pool(p)
        , client(c)
        , clock(cl)
        , protocol(pr)
        , metrics(m)
        , forwarder(serving::Forwarder::create(std::move(options)))
    {
    }

    void perform(serving::ForwardActions actions);
    void carry(serving::SendForward& send);
    void carry(serving::StopForward& stop);
    void carry(serving::SendBatch& batch);
    void carry(serving::TellInstance& tell);
    void carry(serving::ReleaseResults& release);
    void carry(serving::ReplyWhole& reply);
    void carry(serving::ReplyHead& reply);
    void carry(serving::ReplyBytes& reply);
    void carry(serving::ReplyEnd& reply);
    void onHead(CallId id, const http::Response& head);
    void onData(CallId id, std::string_view bytes);
    void onDone(CallId id, http::CallResult result);
    void onBatchDone(const serving::SendBatch& batch, TimePoint sentAt, const http::CallResult& result);
    void flushReleases();
    void setWake();
    void wake();
    void ended(ForwardId id, serving::ForwardEnd end);

    http::IoPool& pool;
    http::Client& client;
    const Clock& clock;
    const backend::ForwardProtocol& protocol;
    telemetry::Metrics& metrics;
    std::unique_ptr<serving::Forwarder> forwarder;
    std::unordered_map<ForwardId, Session> sessions;
    std::unordered_map<CallId, OpenCall> calls;
    std::map<config::Endpoint, std::vector<std::string>> releases;
    std::function<void(const InstanceId&, const serving::PieceMessage&)> tell;
    TimePoint wakeAt = TimePoint::max();
};

void ForwardService::Impl::perform(serving::ForwardActions actions)
{
    for (auto& it : actions)
        std::visit([this](auto& action) { carry(action); }, it);
    setWake();
}

void ForwardService::Impl::setWake()
{
    const auto next = forwarder->nextTime();
    if (next >= wakeAt)
        return;
    wakeAt = next;
    pool.after(std::max<Duration>(next - clock.now(), Duration {}), [weak = weak_from_this(), next] {
        const auto self = weak.lock();
        if (self && self->wakeAt == next)
            self->wake();
    });
}

void ForwardService::Impl::wake()
{
    wakeAt = TimePoint::max();
    serving::ForwardActions actions;
    forwarder->onTime(clock.now(), actions);
    perform(std::move(actions));
}

void ForwardService::Impl::carry(serving::SendForward& send)
{
    const auto id = send.call;
    const auto now = clock.now();
    http::CallRequest request { { send.server.host, send.server.port }, protocol.encode(send), now + connectLimit,
        send.deadline, send.idempotent };
    // A reused connection may have gone silent, and would cost the request.
    request.newConnection = true;
    http::CallEvents events;
    events.onHead = [this, id](const http::Response& head) { onHead(id, head); };
    if (send.streams)
        events.onData = [this, id](std::string_view bytes) { onData(id, bytes); };
    events.onDone = [self = shared_from_this(), id](http::CallResult result) { self->onDone(id, std::move(result)); };
    auto& open = calls[id];
    open.sent = std::move(send);
    open.call = client.start(std::move(request), std::move(events));
}

void ForwardService::Impl::carry(serving::StopForward& stop)
{
    const auto it = calls.find(stop.call);
    if (it == calls.end())
        return;
    it->second.call->cancel();
    calls.erase(it);
}

void ForwardService::Impl::onHead(CallId id, const http::Response& head)
{
    const auto it = calls.find(id);
    if (it == calls.end())
        return;
    auto& open = it->second;
    open.verdict = protocol.judge(open.sent, head);
    const auto now = clock.now();
    if (const auto load = protocol.load(head))
        forwarder->onLoad(id, *load, now);
    if (open.verdict == HeadVerdict::Unusable) {
        open.call->cancel();
        return;
    }
    if (!open.sent.streams || head.status != 200 || open.verdict != HeadVerdict::Pass)
        return;
    open.streaming = true;
    serving::ForwardActions actions;
    forwarder->onHead(id, protocol.passedOn(head), now, actions);
    perform(std::move(actions));
}

void ForwardService::Impl::onData(CallId id, std::string_view bytes)
{
    const auto it = calls.find(id);
    if (it == calls.end() || !it->second.streaming)
        return;
    serving::ForwardActions actions;
    forwarder->onData(id, bytes, clock.now(), actions);
    perform(std::move(actions));
}

void ForwardService::Impl::onDone(CallId id, http::CallResult result)
{
    const auto it = calls.find(id);
    if (it == calls.end())
        return;
    const auto verdict = it->second.verdict;
    calls.erase(it);
    auto end = ForwardCallEnd::Broken;
    if (verdict == HeadVerdict::NotRun)
        end = ForwardCallEnd::Refused;
    else if (verdict == HeadVerdict::Misdirected)
        end = ForwardCallEnd::Misdirected;
    else if (verdict == HeadVerdict::InputGone)
        end = ForwardCallEnd::InputGone;
    else if (result.end == http::CallEnd::NotSent)
        end = ForwardCallEnd::NotSent;
    else if (result.end == http::CallEnd::TimedOut)
        end = ForwardCallEnd::TimedOut;
    else if (result.end == http::CallEnd::Complete && verdict == HeadVerdict::Pass)
        end = ForwardCallEnd::Complete;
    serving::ForwardActions actions;
    forwarder->onEnd(id, end, protocol.passedOn(std::move(result.response)), clock.now(), actions);
    perform(std::move(actions));
}

void ForwardService::Impl::carry(serving::SendBatch& batch)
{
    telemetry::logInfo("batch_sent",
        { { "call", std::to_string(batch.call.value()) }, { "service", batch.service.value() },
            { "server", batch.server.id.value() }, { "pieces", std::to_string(batch.pieces.size()) },
            { "waited_ms", std::to_string(static_cast<long>(toMilliseconds(batch.waited))) },
            { "still_waiting", std::to_string(batch.left) } });
    http::CallRequest request { { batch.server.host, batch.server.port }, protocol.encodeBatch(batch),
        clock.now() + connectLimit, batch.deadline, false };
    request.newConnection = true;
    http::CallEvents events;
    events.onDone = [self = shared_from_this(), sent = batch, sentAt = clock.now()](
                        const http::CallResult& result) { self->onBatchDone(sent, sentAt, result); };
    client.start(std::move(request), std::move(events));
}

void ForwardService::Impl::onBatchDone(
    const serving::SendBatch& batch, TimePoint sentAt, const http::CallResult& result)
{
    backend::BatchAnswer answer;
    if (result.end == http::CallEnd::NotSent)
        answer.end = serving::BatchEnd::Unreachable;
    else if (result.end == http::CallEnd::Complete)
        answer = protocol.decodeBatch(batch, result.response);
    telemetry::logInfo("batch_ended",
        { { "call", std::to_string(batch.call.value()) }, { "service", batch.service.value() },
            { "server", batch.server.id.value() }, { "pieces", std::to_string(batch.pieces.size()) },
            { "after_ms", std::to_string(static_cast<long>(toMilliseconds(clock.now() - sentAt))) },
            { "end", std::string(toString(answer.end)) }, { "detail", result.detail } });
    serving::ForwardActions actions;
    forwarder->onBatchEnd(batch.call, answer.end, answer.results, clock.now(), actions);
    perform(std::move(actions));
}

void ForwardService::Impl::carry(serving::TellInstance& message)
{
    if (tell)
        tell(message.to, message.message);
}

void ForwardService::Impl::carry(serving::ReleaseResults& release)
{
    if (releases.empty())
        pool.after(releaseDelay, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->flushReleases();
        });
    auto& handles = releases[{ release.maker.host, release.maker.port }];
    handles.insert(handles.end(), release.handles.begin(), release.handles.end());
}

void ForwardService::Impl::flushReleases()
{
    for (const auto& it : std::exchange(releases, {})) {
        const auto& server = it.first;
        const auto& handles = it.second;
        const auto now = clock.now();
        http::CallEvents events;
        // A release that is lost costs room until the result's life is over, no more.
        events.onDone = [server](const http::CallResult& result) {
            if (result.end != http::CallEnd::Complete || result.response.status != 200)
                telemetry::logDebug("release_failed", { { "server", server.toString() }, { "detail", result.detail } });
        };
        client.start(
            { server, protocol.encodeRelease(handles), now + connectLimit, now + releaseLimit }, std::move(events));
    }
}

void ForwardService::Impl::ended(ForwardId id, serving::ForwardEnd end)
{
    const auto it = sessions.find(id);
    if (it == sessions.end())
        return;
    metrics.count("foxtailwheel_forwarded_total", { { "end", std::string(toString(end)) } });
    metrics.time(
        "foxtailwheel_forward_seconds", { { "end", std::string(toString(end)) } }, clock.now() - it->second.since);
    sessions.erase(it);
}

void ForwardService::Impl::carry(serving::ReplyWhole& reply)
{
    const auto it = sessions.find(reply.request);
    if (it == sessions.end())
        return;
    if (reply.retryAfter > Duration {})
        protocol.addRetryAfter(reply.response, reply.retryAfter);
    it->second.responder->respond(std::move(reply.response));
    ended(reply.request, reply.end);
}

void ForwardService::Impl::carry(serving::ReplyHead& reply)
{
    if (const auto it = sessions.find(reply.request); it != sessions.end())
        it->second.responder->beginStream(std::move(reply.head));
}

void ForwardService::Impl::carry(serving::ReplyBytes& reply)
{
    if (const auto it = sessions.find(reply.request); it != sessions.end())
        it->second.responder->write(std::move(reply.bytes));
}

void ForwardService::Impl::carry(serving::ReplyEnd& reply)
{
    const auto it = sessions.find(reply.request);
    if (it == sessions.end())
        return;
    if (reply.end == serving::ForwardEnd::Answered)
        it->second.responder->endStream();
    else
        it->second.responder->abort();
    ended(reply.request, reply.end);
}

namespace {

    /// Writes a decision of the forwarder to the log.
    void writeNote(const serving::Note& note)
    {
        std::vector<telemetry::Field> fields;
        if (!note.request.empty())
            fields.push_back({ "request", note.request });
        for (const auto& it : note.fields)
            fields.push_back({ it.first, it.second });
        telemetry::logInfoFields(note.event, fields);
    }

} // namespace

ForwardService::ForwardService(http::IoPool& pool, http::Client& client, const Clock& clock,
    const backend::ForwardProtocol& protocol, telemetry::Metrics& metrics, serving::ForwarderOptions options)
{
    options.note = writeNote;
    m_impl = std::make_shared<Impl>(pool, client, clock, protocol, metrics, std::move(options));
}

ForwardService::~ForwardService() = default;

void ForwardService::handle(http::Request request, const std::shared_ptr<http::Responder>& responder)
{
    auto read = m_impl->protocol.readRequest(std::move(request));
    if (!read) {
        responder->respond({ 400, { { "Content-Type", "text/plain" } }, read.error().message() + "\n" });
        return;
    }
    const auto id = m_impl->forwarder->newRequest();
    m_impl->sessions.emplace(id, Session { responder, m_impl->clock.now() });
    responder->onGone([weak = std::weak_ptr(m_impl), id] {
        const auto self = weak.lock();
        if (!self || self->sessions.find(id) == self->sessions.end())
            return;
        self->ended(id, serving::ForwardEnd::CallerLeft);
        serving::ForwardActions actions;
        self->forwarder->onCallerLeft(id, self->clock.now(), actions);
        self->perform(std::move(actions));
    });
    serving::ForwardActions actions;
    m_impl->forwarder->submit(id, std::move(read.value()), m_impl->clock.now(), actions);
    m_impl->perform(std::move(actions));
}

void ForwardService::configure(std::shared_ptr<const config::RouteTable> table)
{
    serving::ForwardActions actions;
    m_impl->forwarder->configure(std::move(table), m_impl->clock.now(), actions);
    m_impl->perform(std::move(actions));
}

void ForwardService::setServers(const std::vector<serving::AnnouncedServer>& servers)
{
    serving::ForwardActions actions;
    m_impl->forwarder->setServers(servers, m_impl->clock.now(), actions);
    m_impl->perform(std::move(actions));
}

void ForwardService::confirmCredentials(TimePoint asOf)
{
    m_impl->forwarder->confirmCredentials(asOf);
}

void ForwardService::setMembers(
    const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners, const std::set<InstanceId>& gone)
{
    serving::ForwardActions actions;
    m_impl->forwarder->setMembers(live, owners, gone, m_impl->clock.now(), actions);
    m_impl->perform(std::move(actions));
}

void ForwardService::onPeer(const InstanceId& from, const serving::PieceMessage& message)
{
    serving::ForwardActions actions;
    m_impl->forwarder->onPeer(from, message, m_impl->clock.now(), actions);
    m_impl->perform(std::move(actions));
}

void ForwardService::onPeerLost(const InstanceId& instance)
{
    serving::ForwardActions actions;
    m_impl->forwarder->onPeerLost(instance, m_impl->clock.now(), actions);
    m_impl->perform(std::move(actions));
}

void ForwardService::setTell(std::function<void(const InstanceId&, const serving::PieceMessage&)> tell)
{
    m_impl->tell = std::move(tell);
}

void ForwardService::stopAccepting()
{
    m_impl->forwarder->stopAccepting();
}

serving::ForwarderStatus ForwardService::status() const
{
    return m_impl->forwarder->status(m_impl->clock.now());
}

} // namespace foxtailwheel::daemon
