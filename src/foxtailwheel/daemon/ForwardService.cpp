#include "foxtailwheel/daemon/ForwardService.h"

#include "foxtailwheel/serving/ReleaseQueue.h"
#include "foxtailwheel/telemetry/Log.h"

#include <cctype>
#include <exception>
#include <unordered_map>
#include <utility>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;
    using backend::ResponseClass;
    using serving::CallId;
    using serving::ForwardCallOutcome;
    using serving::ForwardId;

    /// Above the round-trip time between zones, below the initial TCP retransmission timeout of 1 s.
    constexpr Duration connectTimeout = 250ms;
    constexpr Duration releaseTimeout = 1s;
    /// A sound server may pause for more than a second.
    constexpr Duration checkTimeout = 2s;
    /// Only the status and the headers of the response are used.
    constexpr std::uint64_t maxCheckResponseBytes = 64U << 10U;
    /// Limits of the response to a batch call, which has a handle or a reason for each piece.
    constexpr std::uint64_t maxBatchResponseBytes = 4U << 10U;
    constexpr std::uint64_t maxPieceResponseBytes = 1U << 10U;

    struct Session {
        std::shared_ptr<http::Responder> responder;
        TimePoint startedAt;
        std::optional<std::string> mediaType; ///< Of a response that has begun.
    };

    struct ActiveCall {
        std::shared_ptr<http::Call> httpCall;
        serving::SendUpstreamRequest request;
        std::optional<ResponseClass> responseClass;
        bool streaming = false;
    };

    std::string mediaTypeOf(const http::Response& head)
    {
        const auto type = http::findHeader(head.headers, "Content-Type");
        std::string out;
        for (const char c : type.substr(0, type.find(';'))) {
            if (c != ' ' && c != '\t')
                out += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        return out;
    }

} // namespace

struct ForwardService::Impl : std::enable_shared_from_this<ForwardService::Impl> {
    Impl(http::IoPool& p, http::Client& c, const Clock& cl, const backend::ForwardProtocol& pr, telemetry::Metrics& m,
        ForwardServiceOptions options)
        : pool(p)
        , client(c)
        , clock(cl)
        , protocol(pr)
        , metrics(m)
        , maxBodyBytes(options.maxBodyBytes)
        , forwarder(serving::Forwarder::create(std::move(options.forwarder)))
    {
    }

    void executeAll(serving::ForwardActions actions);
    void onFailed(const serving::SendUpstreamRequest& send);
    void onFailed(const serving::SendBatch& batch);
    template <class Action> void onFailed(const Action& /*action*/) { }
    void execute(serving::SendUpstreamRequest& send);
    void execute(serving::CancelUpstreamRequest& cancel);
    void execute(serving::SendBatch& batch);
    void execute(serving::CheckServer& check);
    void execute(serving::SendToInstance& message);
    void execute(serving::ReleaseResults& release);
    void execute(serving::SendResponse& reply);
    void execute(serving::SendResponseHead& reply);
    void execute(serving::SendResponseData& reply);
    void execute(serving::EndResponse& reply);
    void execute(serving::CrashRecordUpdate& update);
    void execute(serving::LeavingServer& server);
    void onServerSignal(const config::BackendServer& server, serving::ServerSignal signal);
    bool mayContinueStream(ForwardId id, const http::Response& head) const;
    void onHead(CallId id, const http::Response& head);
    void onData(CallId id, std::string_view bytes);
    void onDone(CallId id, http::CallResult result);
    void onBatchDone(const serving::SendBatch& batch, TimePoint sentAt, const http::CallResult& result);
    void scheduleReleases();
    void sendReleases();
    void scheduleTimer();
    void onTimer();
    void endSession(ForwardId id, serving::ForwardOutcome outcome);

    http::IoPool& pool;
    http::Client& client;
    const Clock& clock;
    const backend::ForwardProtocol& protocol;
    telemetry::Metrics& metrics;
    std::uint64_t maxBodyBytes;
    std::unique_ptr<serving::Forwarder> forwarder;
    std::unordered_map<ForwardId, Session> sessions;
    std::unordered_map<CallId, ActiveCall> calls;
    serving::ReleaseQueue releases;
    TimePoint releasesAt = TimePoint::max(); ///< Time at which releases are sent next.
    std::function<void(const InstanceId&, const serving::PieceMessage&)> sendToInstance;
    std::function<void(const serving::CrashRecordUpdate&)> shareCrashRecords;
    std::function<void(const serving::LeavingServer&)> shareLeavingServer;
    TimePoint timerAt = TimePoint::max();
    std::uint64_t coldCallsHeld = 0; ///< As last counted in the metrics.
};

void ForwardService::Impl::executeAll(serving::ForwardActions actions)
{
    for (auto& it : actions) {
        // Actions of other requests may follow.
        try {
            std::visit([this](auto& action) { execute(action); }, it);
        } catch (const std::exception& error) {
            telemetry::logError("action_failed", { { "detail", error.what() } });
            std::visit([this](const auto& action) { onFailed(action); }, it);
        }
    }
    const auto held = forwarder->coldCallsHeld();
    if (const auto before = std::exchange(coldCallsHeld, held); before < held)
        metrics.increment("foxtailwheel_cold_calls_held_total", {}, static_cast<double>(held - before));
    scheduleTimer();
}

/// Ends a call that could not be sent.
void ForwardService::Impl::onFailed(const serving::SendUpstreamRequest& send)
{
    pool.post([self = shared_from_this(), id = send.call] {
        serving::ForwardActions actions;
        self->forwarder->onCallEnd(id, ForwardCallOutcome::NotSent, {}, self->clock.now(), actions);
        self->executeAll(std::move(actions));
    });
}

/// Ends a batch that could not be sent. Its pieces count as broken: one of them may be the cause.
void ForwardService::Impl::onFailed(const serving::SendBatch& batch)
{
    pool.post([self = shared_from_this(), id = batch.call] {
        serving::ForwardActions actions;
        self->forwarder->onBatchEnd(id, serving::BatchOutcome::Broken, {}, self->clock.now(), actions);
        self->executeAll(std::move(actions));
    });
}

void ForwardService::Impl::scheduleTimer()
{
    const auto next = forwarder->nextTimerAt();
    if (next >= timerAt)
        return;
    timerAt = next;
    pool.postAfter(std::max<Duration>(next - clock.now(), Duration {}), [weak = weak_from_this(), next] {
        const auto self = weak.lock();
        if (self && self->timerAt == next)
            self->onTimer();
    });
}

void ForwardService::Impl::onTimer()
{
    timerAt = TimePoint::max();
    serving::ForwardActions actions;
    forwarder->onTimer(clock.now(), actions);
    executeAll(std::move(actions));
}

void ForwardService::Impl::execute(serving::SendUpstreamRequest& send)
{
    const auto id = send.call;
    const auto now = clock.now();
    http::CallRequest request { { send.server.host, send.server.port }, protocol.encode(send), now + connectTimeout,
        send.deadline, send.idempotent };
    // A reused connection may be dead without notice, which would fail the request.
    request.newConnection = true;
    request.maxBodyBytes = maxBodyBytes;
    http::CallCallbacks callbacks;
    callbacks.onHead = [this, id](const http::Response& head) { onHead(id, head); };
    if (send.streams)
        callbacks.onData = [this, id](std::string_view bytes) { onData(id, bytes); };
    callbacks.onDone
        = [self = shared_from_this(), id](http::CallResult result) { self->onDone(id, std::move(result)); };
    auto& call = calls[id];
    call.request = std::move(send);
    // The body is in the call and in the request that the forwarder keeps; a third copy would only take memory. An
    // assignment could keep it.
    std::string().swap(call.request.message.body);
    call.httpCall = client.start(std::move(request), std::move(callbacks));
}

void ForwardService::Impl::execute(serving::CancelUpstreamRequest& cancel)
{
    const auto it = calls.find(cancel.call);
    if (it == calls.end())
        return;
    it->second.httpCall->cancel();
    calls.erase(it);
}

/// A response of another type than the one that has begun is no rest of its stream.
bool ForwardService::Impl::mayContinueStream(ForwardId id, const http::Response& head) const
{
    const auto it = sessions.find(id);
    return it == sessions.end() || !it->second.mediaType || *it->second.mediaType == mediaTypeOf(head);
}

void ForwardService::Impl::onHead(CallId id, const http::Response& head)
{
    const auto it = calls.find(id);
    if (it == calls.end())
        return;
    auto& call = it->second;
    call.responseClass = protocol.classifyResponse(call.request, head);
    const auto now = clock.now();
    onServerSignal(call.request.server, protocol.parseSignal(head, clock.wallNow()));
    if (const auto load = protocol.parseLoad(head))
        forwarder->onLoadReport(id, *load, now);
    if (call.responseClass == ResponseClass::Valid && !mayContinueStream(call.request.request, head))
        call.responseClass = ResponseClass::Invalid;
    if (call.responseClass == ResponseClass::Invalid) {
        call.httpCall->cancel();
        return;
    }
    if (!call.request.streams || head.status != 200 || call.responseClass != ResponseClass::Valid)
        return;
    call.streaming = true;
    serving::ForwardActions actions;
    forwarder->onResponseHead(id, protocol.toCallerResponse(head), now, actions);
    executeAll(std::move(actions));
}

void ForwardService::Impl::onData(CallId id, std::string_view bytes)
{
    const auto it = calls.find(id);
    if (it == calls.end() || !it->second.streaming)
        return;
    serving::ForwardActions actions;
    forwarder->onResponseData(id, bytes, clock.now(), actions);
    executeAll(std::move(actions));
}

void ForwardService::Impl::onDone(CallId id, http::CallResult result)
{
    const auto it = calls.find(id);
    if (it == calls.end())
        return;
    const auto responseClass = it->second.responseClass;
    calls.erase(it);
    auto outcome = ForwardCallOutcome::Broken;
    if (responseClass == ResponseClass::NotStarted)
        outcome = ForwardCallOutcome::Refused;
    else if (responseClass == ResponseClass::Misdirected)
        outcome = ForwardCallOutcome::Misdirected;
    else if (responseClass == ResponseClass::InputMissing)
        outcome = ForwardCallOutcome::InputMissing;
    else if (result.outcome == http::TransportOutcome::NotSent)
        outcome = ForwardCallOutcome::NotSent;
    else if (result.outcome == http::TransportOutcome::TimedOut)
        outcome = ForwardCallOutcome::TimedOut;
    else if (result.brokeInHead)
        outcome = ForwardCallOutcome::BrokenInHead;
    else if (result.outcome == http::TransportOutcome::Complete && responseClass == ResponseClass::Valid)
        outcome = result.delimited ? ForwardCallOutcome::Complete : ForwardCallOutcome::Undelimited;
    serving::ForwardActions actions;
    forwarder->onCallEnd(id, outcome, protocol.toCallerResponse(std::move(result.response)), clock.now(), actions);
    executeAll(std::move(actions));
}

void ForwardService::Impl::execute(serving::SendBatch& batch)
{
    telemetry::logInfo("batch_sent",
        { { "call", std::to_string(batch.call.value()) }, { "service", batch.service.value() },
            { "server", batch.server.id.value() }, { "pieces", std::to_string(batch.pieces.size()) },
            { "waited_ms", std::to_string(static_cast<long>(toMilliseconds(batch.maxQueueTime))) },
            { "still_waiting", std::to_string(batch.remainingPieces) } });
    http::CallRequest request { { batch.server.host, batch.server.port }, protocol.encodeBatch(batch),
        clock.now() + connectTimeout, batch.deadline, false };
    request.newConnection = true;
    request.maxBodyBytes = maxBatchResponseBytes + batch.pieces.size() * maxPieceResponseBytes;
    http::CallCallbacks callbacks;
    callbacks.onHead = [this, server = batch.server](const http::Response& head) {
        onServerSignal(server, protocol.parseSignal(head, clock.wallNow()));
    };
    callbacks.onDone = [self = shared_from_this(), batch, sentAt = clock.now()](
                           const http::CallResult& result) { self->onBatchDone(batch, sentAt, result); };
    client.start(std::move(request), std::move(callbacks));
}

void ForwardService::Impl::execute(serving::CheckServer& check)
{
    const auto now = clock.now();
    http::CallRequest request { { check.server.host, check.server.port }, protocol.encodeCheck(check),
        now + connectTimeout, now + checkTimeout };
    request.newConnection = true;
    request.maxBodyBytes = maxCheckResponseBytes;
    http::CallCallbacks callbacks;
    callbacks.onHead = [this, server = check.server](const http::Response& head) {
        onServerSignal(server, protocol.parseSignal(head, clock.wallNow()));
    };
    callbacks.onDone = [self = shared_from_this(), check](const http::CallResult& result) {
        const bool passed
            = result.outcome == http::TransportOutcome::Complete && self->protocol.passesCheck(check, result.response);
        self->metrics.increment("foxtailwheel_server_checks_total",
            { { "service", check.service.value() }, { "passed", passed ? "1" : "0" } });
        self->forwarder->onServerChecked(check, passed, self->clock.now());
    };
    client.start(std::move(request), std::move(callbacks));
}

void ForwardService::Impl::onBatchDone(
    const serving::SendBatch& batch, TimePoint sentAt, const http::CallResult& result)
{
    backend::BatchResponse decoded;
    if (result.outcome == http::TransportOutcome::NotSent)
        decoded.outcome = serving::BatchOutcome::Unreachable;
    else if (result.outcome == http::TransportOutcome::Complete)
        decoded = protocol.decodeBatch(batch, result.response);
    telemetry::logInfo("batch_ended",
        { { "call", std::to_string(batch.call.value()) }, { "service", batch.service.value() },
            { "server", batch.server.id.value() }, { "pieces", std::to_string(batch.pieces.size()) },
            { "after_ms", std::to_string(static_cast<long>(toMilliseconds(clock.now() - sentAt))) },
            { "end", std::string(toString(decoded.outcome)) }, { "detail", result.detail } });
    const telemetry::Labels labels { { "service", batch.service.value() },
        { "end", std::string(toString(decoded.outcome)) } };
    metrics.increment("foxtailwheel_batches_total", labels);
    metrics.increment("foxtailwheel_batch_pieces_total", labels, static_cast<double>(batch.pieces.size()));
    serving::ForwardActions actions;
    forwarder->onBatchEnd(batch.call, decoded.outcome, decoded.results, clock.now(), actions);
    executeAll(std::move(actions));
}

void ForwardService::Impl::execute(serving::SendToInstance& message)
{
    if (sendToInstance)
        sendToInstance(message.to, message.message);
}

void ForwardService::Impl::execute(serving::ReleaseResults& release)
{
    releases.add(release, clock.now());
    scheduleReleases();
}

void ForwardService::Impl::scheduleReleases()
{
    const auto next = releases.nextDueAt();
    if (!next || *next >= releasesAt)
        return;
    releasesAt = *next;
    pool.postAfter(std::max<Duration>(*next - clock.now(), Duration {}), [weak = weak_from_this(), at = *next] {
        const auto self = weak.lock();
        if (self && self->releasesAt == at)
            self->sendReleases();
    });
}

void ForwardService::Impl::sendReleases()
{
    releasesAt = TimePoint::max();
    const auto now = clock.now();
    const auto pausedUntil = [&](const ServiceId& service, const BackendServerId& server) {
        return forwarder->pausedUntil(service, server, now);
    };
    releases.dropIf([&](const AvailabilityZoneId& zone) { return forwarder->isDrained(zone); });
    for (const auto& it : releases.takeDue(now, pausedUntil)) {
        const auto& server = it.producer;
        http::CallCallbacks callbacks;
        callbacks.onHead = [self = shared_from_this(), server](const http::Response& head) {
            auto signal = self->protocol.parseSignal(head, self->clock.wallNow());
            // A release names no server, so whichever is at the address has answered.
            signal.isOther = true;
            self->onServerSignal({ {}, server.host, server.port, {} }, signal);
        };
        // If a release is lost, the result only occupies capacity until it expires.
        callbacks.onDone = [server](const http::CallResult& result) {
            if (result.outcome != http::TransportOutcome::Complete || result.response.status != 200)
                telemetry::logDebug("release_failed", { { "server", server.id.value() }, { "detail", result.detail } });
        };
        http::CallRequest request { { server.host, server.port }, protocol.encodeRelease(it.handles),
            now + connectTimeout, now + releaseTimeout };
        request.maxBodyBytes = maxBatchResponseBytes;
        client.start(std::move(request), std::move(callbacks));
    }
    scheduleReleases();
}

void ForwardService::Impl::endSession(ForwardId id, serving::ForwardOutcome outcome)
{
    const auto it = sessions.find(id);
    if (it == sessions.end())
        return;
    metrics.increment("foxtailwheel_forwarded_total", { { "end", std::string(toString(outcome)) } });
    metrics.observeDuration("foxtailwheel_forward_seconds", { { "end", std::string(toString(outcome)) } },
        clock.now() - it->second.startedAt);
    sessions.erase(it);
}

void ForwardService::Impl::execute(serving::SendResponse& reply)
{
    const auto it = sessions.find(reply.request);
    if (it == sessions.end())
        return;
    if (reply.retryAfter > Duration {})
        protocol.addRetryAfter(reply.response, reply.retryAfter);
    if (reply.outcome != serving::ForwardOutcome::Answered && reply.response.status == 503)
        metrics.increment("foxtailwheel_calls_refused_total", { { "reason", std::string(toString(reply.outcome)) } });
    it->second.responder->respond(std::move(reply.response));
    endSession(reply.request, reply.outcome);
}

void ForwardService::Impl::execute(serving::SendResponseHead& reply)
{
    const auto it = sessions.find(reply.request);
    if (it == sessions.end())
        return;
    it->second.mediaType = mediaTypeOf(reply.head);
    it->second.responder->beginStream(std::move(reply.head));
}

void ForwardService::Impl::execute(serving::SendResponseData& reply)
{
    if (const auto it = sessions.find(reply.request); it != sessions.end())
        it->second.responder->write(std::move(reply.bytes));
}

void ForwardService::Impl::execute(serving::EndResponse& reply)
{
    const auto it = sessions.find(reply.request);
    if (it == sessions.end())
        return;
    if (reply.outcome == serving::ForwardOutcome::Answered)
        it->second.responder->endStream();
    else
        it->second.responder->abort();
    endSession(reply.request, reply.outcome);
}

void ForwardService::Impl::onServerSignal(const config::BackendServer& server, serving::ServerSignal signal)
{
    serving::ForwardActions actions;
    forwarder->onServerSignal(server, signal, clock.now(), actions);
    executeAll(std::move(actions));
}

void ForwardService::Impl::execute(serving::LeavingServer& server)
{
    metrics.increment("foxtailwheel_servers_leaving_total", {});
    if (shareLeavingServer)
        shareLeavingServer(server);
}

void ForwardService::Impl::execute(serving::CrashRecordUpdate& update)
{
    if (shareCrashRecords)
        shareCrashRecords(update);
}

namespace {

    /// Writes a decision of the forwarder to the process log.
    void logDecision(const serving::DecisionRecord& decision)
    {
        std::vector<telemetry::Field> fields;
        if (!decision.request.empty())
            fields.push_back({ "request", decision.request });
        for (const auto& it : decision.fields)
            fields.push_back({ it.first, it.second });
        telemetry::logInfoFields(decision.event, fields);
    }

} // namespace

ForwardService::ForwardService(http::IoPool& pool, http::Client& client, const Clock& clock,
    const backend::ForwardProtocol& protocol, telemetry::Metrics& metrics, ForwardServiceOptions options)
{
    options.forwarder.decisionLog = logDecision;
    m_impl = std::make_shared<Impl>(pool, client, clock, protocol, metrics, std::move(options));
}

ForwardService::~ForwardService() = default;

void ForwardService::handle(http::Request request, const std::shared_ptr<http::Responder>& responder)
{
    auto parsed = m_impl->protocol.parseRequest(std::move(request));
    if (!parsed) {
        responder->respond({ 400, { { "Content-Type", "text/plain" } }, parsed.error().message() + "\n" });
        return;
    }
    const auto id = m_impl->forwarder->allocateRequestId();
    m_impl->sessions.emplace(id, Session { responder, m_impl->clock.now(), {} });
    responder->onDisconnect([weak = std::weak_ptr(m_impl), id] {
        const auto self = weak.lock();
        if (!self || self->sessions.find(id) == self->sessions.end())
            return;
        self->endSession(id, serving::ForwardOutcome::CallerDisconnected);
        serving::ForwardActions actions;
        self->forwarder->onCallerDisconnected(id, self->clock.now(), actions);
        self->executeAll(std::move(actions));
    });
    serving::ForwardActions actions;
    m_impl->forwarder->submit(id, std::move(parsed.value()), m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

void ForwardService::configure(std::shared_ptr<const config::RouteTable> table)
{
    serving::ForwardActions actions;
    m_impl->forwarder->configure(std::move(table), m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

serving::PlacementExplanation ForwardService::explainPlacement(const serving::ForwardRequest& request)
{
    return m_impl->forwarder->explainPlacement(request, m_impl->clock.now());
}

void ForwardService::setServers(const std::vector<serving::AnnouncedServer>& servers)
{
    serving::ForwardActions actions;
    m_impl->forwarder->setServers(servers, m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

void ForwardService::setDrainedZones(const std::set<AvailabilityZoneId>& zones)
{
    m_impl->metrics.setGauge("foxtailwheel_zones_drained", {}, static_cast<double>(zones.size()));
    serving::ForwardActions actions;
    m_impl->forwarder->setDrainedZones(zones, m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

bool ForwardService::confirmCredentials(std::uint64_t configVersion, TimePoint asOf)
{
    return m_impl->forwarder->confirmCredentials(configVersion, asOf);
}

void ForwardService::setMembers(
    const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners, const std::set<InstanceId>& unavailable)
{
    serving::ForwardActions actions;
    m_impl->forwarder->setMembers(live, owners, unavailable, m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

void ForwardService::onPeerMessage(const InstanceId& from, const serving::PieceMessage& message)
{
    serving::ForwardActions actions;
    m_impl->forwarder->onPeerMessage(from, message, m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

void ForwardService::onPeerConnectionLost(const InstanceId& instance)
{
    serving::ForwardActions actions;
    m_impl->forwarder->onPeerConnectionLost(instance, m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

void ForwardService::onPeerUnreachable(const InstanceId& instance)
{
    serving::ForwardActions actions;
    m_impl->forwarder->onPeerUnreachable(instance, m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

void ForwardService::setSendToInstance(std::function<void(const InstanceId&, const serving::PieceMessage&)> send)
{
    m_impl->sendToInstance = std::move(send);
}

void ForwardService::setShareCrashRecords(std::function<void(const serving::CrashRecordUpdate&)> share)
{
    m_impl->shareCrashRecords = std::move(share);
}

void ForwardService::setShareLeavingServer(std::function<void(const serving::LeavingServer&)> share)
{
    m_impl->shareLeavingServer = std::move(share);
}

void ForwardService::onServerLeaving(const serving::LeavingServer& server)
{
    m_impl->forwarder->onServerLeaving(server, m_impl->clock.now());
}

std::vector<routing::SharedLoad> ForwardService::loadReports()
{
    return m_impl->forwarder->loadReports(m_impl->clock.now());
}

void ForwardService::updateLoadMetrics()
{
    const auto now = m_impl->clock.now();
    const auto status = m_impl->forwarder->schedulingStatus(now);
    for (const auto& [service, n] : status.waitingRequests)
        m_impl->metrics.setGauge(
            "foxtailwheel_waiting_requests", { { "service", service.value() } }, static_cast<double>(n));
    for (const auto& [account, usage] : status.accountUsage)
        m_impl->metrics.setGauge("foxtailwheel_account_usage", { { "account", account.value() } }, usage);
    m_impl->metrics.setGauge("foxtailwheel_expected_retry_seconds", {}, status.expectedRetrySeconds);
    for (const auto& it : m_impl->forwarder->serviceLoads(now)) {
        const telemetry::Labels labels { { "service", it.service.value() } };
        auto& metrics = m_impl->metrics;
        metrics.setGauge("foxtailwheel_server_load_mean", labels, it.known.meanCalls);
        metrics.setGauge("foxtailwheel_server_load_spread", labels, it.known.spread);
        metrics.setGauge("foxtailwheel_server_load_age_seconds", labels, toSeconds(it.known.meanAge));
        metrics.setGauge("foxtailwheel_servers_without_report", labels, static_cast<double>(it.known.silentServers));
        metrics.setGauge("foxtailwheel_calls_at_full_servers", labels, static_cast<double>(it.callsAtFullServers));
    }
}

void ForwardService::onSharedLoads(const std::vector<routing::SharedLoad>& reports)
{
    m_impl->forwarder->onSharedLoads(reports, m_impl->clock.now());
}

std::vector<routing::ColdNotice> ForwardService::coldServers()
{
    return m_impl->forwarder->coldServers(m_impl->clock.now());
}

void ForwardService::onColdServers(const std::vector<routing::ColdNotice>& notices)
{
    m_impl->forwarder->onColdServers(notices, m_impl->clock.now());
}

void ForwardService::setCrashRecords(const std::vector<serving::CrashRecord>& records)
{
    m_impl->forwarder->setCrashRecords(records, m_impl->clock.now());
}

void ForwardService::stopAccepting()
{
    m_impl->forwarder->stopAccepting();
}

void ForwardService::setCredentialMaxAge(Duration age)
{
    m_impl->forwarder->setCredentialMaxAge(age);
}

void ForwardService::beginShutdown(TimePoint endsAt)
{
    m_impl->forwarder->beginShutdown(endsAt);
}

void ForwardService::endAll()
{
    serving::ForwardActions actions;
    m_impl->forwarder->endAll(m_impl->clock.now(), actions);
    m_impl->executeAll(std::move(actions));
}

serving::ForwarderStatus ForwardService::status() const
{
    return m_impl->forwarder->status(m_impl->clock.now());
}

} // namespace foxtailwheel::daemon
