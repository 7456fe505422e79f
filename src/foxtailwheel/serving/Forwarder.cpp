#include "RoutingForwarder.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Time without a usable server after which a request is rejected. Routes with a longer latency target use that.
    constexpr Duration serverWaitTimeout = 300ms;
    /// Minimum interval between checks of the servers of a service. Those that are suspected at the same time are due
    /// at the same time.
    constexpr Duration checkInterval = 100ms;
} // namespace

bool RoutingForwarder::configure(std::shared_ptr<const config::RouteTable> table, TimePoint now, ForwardActions& out)
{
    if (m_table && table->version <= m_table->version)
        return false;
    m_table = std::move(table);
    m_directory.configure(*m_table);
    updateQueueShares(now);
    dispatchAll(now, out);
    return true;
}

void RoutingForwarder::setServers(const std::vector<AnnouncedServer>& servers, TimePoint now, ForwardActions& out)
{
    m_directory.setServers(servers, now);
    dispatchAll(now, out);
}

void RoutingForwarder::onServerSignal(
    const config::BackendServer& server, const ServerSignal& signal, TimePoint now, ForwardActions& out)
{
    if (signal.coldRemaining > Duration {} && !signal.isOther)
        m_directory.markCold(server.id, signal.coldRemaining, now);
    if (!signal.leaving && signal.pause == Duration {})
        return;
    std::vector<LeavingServer> senders;
    if (signal.isOther) {
        for (const auto& it : m_directory.serversAt(server.host, server.port, server.id))
            senders.push_back({ it.server.id, it.startedAt });
    } else {
        const auto* announced = m_directory.findServer(server.id);
        senders.push_back({ server.id, announced == nullptr ? WallTime {} : announced->startedAt });
    }
    for (const auto& it : senders) {
        if (signal.pause > Duration {})
            pauseServer(it.server, signal.pause, now);
        if (!signal.leaving || !m_directory.markLeaving(it, now))
            continue;
        logServerDecision("server_leaving", { { "server", it.server.value() }, { "source", "response" } });
        out.emplace_back(it);
    }
}

/// Other instances are not told: the server wants to be left alone by this one.
void RoutingForwarder::pauseServer(const BackendServerId& server, Duration pause, TimePoint now)
{
    const auto* announced = m_directory.findServer(server);
    auto* state = announced == nullptr ? nullptr : m_directory.find(announced->service);
    if (state == nullptr)
        return;
    const auto time = state->pool->pause(server, pause, now);
    logServerDecision("server_paused",
        { { "server", server.value() }, { "service", announced->service.value() },
            { "asked_ms", formatInteger(toMilliseconds(pause)) },
            { "pause_ms", formatInteger(toMilliseconds(time)) } });
}

std::optional<TimePoint> RoutingForwarder::pausedUntil(
    const ServiceId& service, const BackendServerId& server, TimePoint now) const
{
    const auto* state = m_directory.find(service);
    return state == nullptr ? std::nullopt : state->pool->pausedUntil(server, now);
}

/// Rejects a request at once if all servers of its service are paused for longer than it waits for a server.
bool RoutingForwarder::refuseIfAllPaused(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    const auto until = state == nullptr ? std::nullopt : state->pool->pausedUntil(now);
    if (!until || *until <= std::max(now + serverWaitTimeout, resumableUntil(run)))
        return false;
    if (run.mayHaveRun || run.headSent)
        fail(run, ForwardOutcome::BackendFailed, now, out);
    else
        refuse(run, ForwardOutcome::ServersPaused, *until - now, now, out);
    return true;
}

/// Checks a suspected server of a service for requests that cannot be risked there: without other requests, nothing
/// else would show that they are sound again. Checks draw on the retry budget. One in a window of the budget is always
/// sent, since a service without usable servers earns no budget.
void RoutingForwarder::checkSuspectedServer(const ServiceId& service, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(service);
    const auto sinceLast = now - state->lastCheckAt;
    if (sinceLast < checkInterval)
        return;
    const auto due = state->pool->serversToCheck(now);
    if (due.empty())
        return;
    if (!state->retryBudget.tryAcquire(1, now) && sinceLast < m_options.retryBudgetWindow)
        return;
    state->lastCheckAt = now;
    state->pool->onCheckStarted(due.front().id, now);
    out.emplace_back(CheckServer { service, due.front(), state->healthPath });
}

void RoutingForwarder::onServerChecked(const CheckServer& check, bool passed, TimePoint now)
{
    logServerDecision("server_checked",
        { { "server", check.server.id.value() }, { "service", check.service.value() },
            { "passed", passed ? "1" : "0" } });
    if (auto* state = m_directory.find(check.service))
        state->pool->onCheckEnded(check.server, passed, now);
}

void RoutingForwarder::onServerLeaving(const LeavingServer& server, TimePoint now)
{
    if (m_directory.markLeaving(server, now))
        logServerDecision("server_leaving", { { "server", server.server.value() }, { "source", "instance" } });
}

BatchQueue* RoutingForwarder::findQueue(const ServiceId& id)
{
    auto* state = m_directory.find(id);
    return state == nullptr ? nullptr : state->batchQueue.get();
}

void RoutingForwarder::dispatchAll(TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    for (const auto& it : m_directory.services())
        m_broker.dispatch(it.first, now, actions);
    applyBrokerActions(std::move(actions), now, out);
}

/// The owner of a service may use all of its servers. Other instances, which only replace an unavailable owner, may use
/// an equal share.
void RoutingForwarder::updateQueueShares(TimePoint now)
{
    const bool overloadForecast = isAnyServiceScheduled();
    for (auto& it : m_directory.services()) {
        if (!it.second.batchQueue)
            continue;
        it.second.batchQueue->setSlotShare(
            m_broker.actsAsOwner(it.first, now) ? 1 : 1.0 / static_cast<double>(m_instanceCount));
        it.second.batchQueue->setOverloadForecast(overloadForecast);
    }
}

void RoutingForwarder::setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
    const std::set<InstanceId>& removed, TimePoint now, ForwardActions& out)
{
    m_instanceCount = std::max<std::size_t>(1, live.size());
    m_directory.setInstances(live, now);
    m_crashingParts.setInstances(m_options.pools.self, live);
    BrokerActions actions;
    m_broker.setMembers(m_options.batchAcrossInstances ? owners : std::vector<InstanceId>(), removed, now, actions);
    updateQueueShares(now);
    applyBrokerActions(std::move(actions), now, out);
}

void RoutingForwarder::onPeerMessage(
    const InstanceId& from, const PieceMessage& message, TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    if (std::holds_alternative<PieceRequest>(message))
        updateQueueShares(now);
    m_broker.onMessage(from, message, now, actions);
    applyBrokerActions(std::move(actions), now, out);
}

void RoutingForwarder::onPeerConnectionLost(const InstanceId& instance, TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    m_broker.onConnectionLost(instance, now, actions);
    applyBrokerActions(std::move(actions), now, out);
}

void RoutingForwarder::onPeerUnreachable(const InstanceId& instance, TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    m_broker.onUnreachable(instance, now, actions);
    updateQueueShares(now);
    applyBrokerActions(std::move(actions), now, out);
}

ForwarderStatus RoutingForwarder::status(TimePoint now) const
{
    ForwarderStatus status;
    status.configVersion = m_table ? m_table->version : 0;
    status.activeRequests = m_runs.size();
    status.credentialsCurrent
        = m_table && (!m_table->needsCredentials || now - m_credentialsConfirmedAt <= m_options.credentialMaxAge);
    return status;
}

SchedulingStatus RoutingForwarder::schedulingStatus(TimePoint now) const
{
    SchedulingStatus status;
    for (const auto& it : m_waitingRequests)
        status.waitingRequests[it.first] = it.second.size();
    status.accountUsage = m_accountShares.usages(now);
    status.expectedRetrySeconds = m_returns.expectedCost(std::chrono::seconds(1), now);
    return status;
}

void RoutingForwarder::onBatchEnd(
    CallId call, BatchOutcome outcome, const std::vector<PieceResult>& results, TimePoint now, ForwardActions& out)
{
    const auto it = m_batchCalls.find(call);
    if (it == m_batchCalls.end())
        return;
    const auto service = it->second;
    m_batchCalls.erase(it);
    BrokerActions actions;
    m_broker.onBatchEnd(service, call, outcome, results, now, actions);
    applyBrokerActions(std::move(actions), now, out);
}

void RoutingForwarder::onLoadReport(CallId call, const ReportedLoad& load, TimePoint now)
{
    auto* run = findRunOfCall(call);
    if (run == nullptr)
        return;
    const auto* openCall = run->findCall(call);
    auto* state = m_directory.find(run->service);
    if (state == nullptr)
        return;
    if (load.slowdown && !std::exchange(state->reportsSlowdown, true))
        updateQueueShares(now);
    state->pool->onLoadReport(openCall->server, { load.running, load.queued, now });
    if (isScheduled(run->service))
        shareLoad(openCall->server, load, *state, now);
}

/// Stage services have no setting of their own: they serve the requests of all services.
bool RoutingForwarder::isAnyServiceScheduled() const
{
    const auto& services = m_directory.services();
    return std::any_of(services.begin(), services.end(), [this](const auto& it) { return isScheduled(it.first); });
}

/// Returns true if scheduling under overload applies to requests for a service.
bool RoutingForwarder::isScheduled(const ServiceId& service) const
{
    if (m_options.scheduling != SchedulingMode::WhereReported)
        return m_options.scheduling == SchedulingMode::On;
    const auto* state = m_directory.find(service);
    return state != nullptr && state->reportsSlowdown;
}

void RoutingForwarder::onTimer(TimePoint now, ForwardActions& out)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto timer = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        handleTimer(timer, now, out);
    }
    BrokerActions actions;
    m_broker.onTimer(now, actions);
    applyBrokerActions(std::move(actions), now, out);
}

void RoutingForwarder::handleTimer(const Timer& timer, TimePoint now, ForwardActions& out)
{
    if (timer.kind == TimerKind::Dispatch) {
        m_dispatchTimers.erase(timer.service);
        BrokerActions actions;
        m_broker.dispatch(timer.service, now, actions);
        applyBrokerActions(std::move(actions), now, out);
        return;
    }
    if (timer.kind == TimerKind::ServeWaiting) {
        if (const auto it = m_servingTimers.find(timer.service); it != m_servingTimers.end() && it->second <= now)
            serveWaiting(timer.service, now, out);
        return;
    }
    auto* run = findRun(timer.run);
    if (run == nullptr)
        return;
    const auto* call = run->findCall(timer.call);
    auto* state = m_directory.find(run->service);
    switch (timer.kind) {
    case TimerKind::Deadline:
        onDeadline(*run, now, out);
        return;
    case TimerKind::FindServer:
        if (!run->calls.empty() || !run->allStagesDone())
            return;
        if (findServer(*run, now, out))
            awaitServer(*run, serverRetryInterval, now);
        return;
    case TimerKind::Hedge:
        if (call == nullptr || call->headReceived || run->possibleExecutions >= run->route->maxCallsPerRequest)
            return;
        if (run->route->streaming) {
            if (!failOverStream(*run, now, out))
                setTimer(now + failoverRetryInterval, timer);
        } else if (run->calls.size() == 1 && isAnsweredBeforeEnd(*run, now) && state->retryBudget.tryAcquire(1, now))
            trySend(*run, true, now, out);
        return;
    case TimerKind::StreamSilence:
        if (call != nullptr && run->possibleExecutions < run->route->maxCallsPerRequest)
            checkStreamSilence(*run, timer, now, out);
        return;
    case TimerKind::RequestPieces:
        requestPiecesAgain(*run, timer.service, now, out);
        return;
    case TimerKind::Dispatch:
    case TimerKind::ServeWaiting:
        return;
    }
}

/// Sends a request that waits for a server or for the retry budget, or ends its wait.
/// @return True if it still waits.
bool RoutingForwarder::findServer(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    if (refuseIfCrashing(run, now, out) || refuseIfEnding(run, now, out))
        return false;
    if (run.awaitsRetryBudget)
        run.awaitsRetryBudget = !m_directory.find(run.service)->retryBudget.tryAcquire(1, now);
    const bool sent = !run.awaitsRetryBudget && trySend(run, !run.triedServers.empty(), now, out);
    if (sent || refuseIfWithoutServer(run, now, out) || refuseIfAllPaused(run, now, out))
        return false;
    const auto waitsUntil
        = run.headSent ? resumableUntil(run) : run.acceptedAt + std::max(serverWaitTimeout, run.route->latencyTarget);
    const auto queue = m_waitingRequests.find(run.service);
    const bool isTooLate
        = !run.headSent && queue != m_waitingRequests.end() && queue->second.isTooLate(run.id.value(), now);
    if (now <= waitsUntil && !isTooLate)
        return true;
    fail(run, run.mayHaveRun ? ForwardOutcome::BackendFailed : ForwardOutcome::NoServer, now, out);
    return false;
}

/// Lets a request wait for a server: in the queue of its service where scheduling is on, for itself elsewhere.
void RoutingForwarder::awaitServer(const ForwardRun& run, Duration delay, TimePoint now)
{
    if (!isScheduled(run.service)) {
        setTimer(now + delay, { TimerKind::FindServer, run.id, {}, {} });
        return;
    }
    const auto responseTime = usualTimeToFirstByte(run);
    auto& queue = m_waitingRequests[run.service];
    if (queue.empty())
        logDecision(run, "request_queued", { { "service", run.service.value() } });
    queue.add({ run.id.value(), run.priority, run.firstAttemptAt + run.route->latencyTarget - responseTime,
        run.deadline - responseTime });
    scheduleServing(run.service, now + delay);
}

void RoutingForwarder::scheduleServing(const ServiceId& service, TimePoint at)
{
    const auto [it, isNew] = m_servingTimers.try_emplace(service, at);
    if (!isNew && it->second <= at)
        return;
    it->second = at;
    setTimer(at, { TimerKind::ServeWaiting, {}, {}, service });
}

/// Sends the waiting requests of a service in their order, as far as there are servers for them.
void RoutingForwarder::serveWaiting(const ServiceId& service, TimePoint now, ForwardActions& out)
{
    m_servingTimers.erase(service);
    auto& queue = m_waitingRequests[service];
    for (const auto id : queue.order(now)) {
        auto* run = findRun(ForwardId(id));
        if (run == nullptr || !run->calls.empty() || !run->allStagesDone() || !findServer(*run, now, out))
            queue.remove(id);
    }
    if (!queue.empty())
        scheduleServing(service, now + serverRetryInterval);
}

void RoutingForwarder::checkStreamSilence(ForwardRun& run, const Timer& timer, TimePoint now, ForwardActions& out)
{
    const auto silentAt = run.lastEventAt + streamSilenceTimeout(run);
    if (now < silentAt)
        setTimer(silentAt, timer);
    else if (!failOverStream(run, now, out))
        setTimer(now + failoverRetryInterval, timer);
}

void RoutingForwarder::onDeadline(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    fail(run, run.mayHaveRun ? ForwardOutcome::TimedOut : ForwardOutcome::TimedOutWaiting, now, out);
}

std::unique_ptr<Forwarder> Forwarder::create(ForwarderOptions options)
{
    return std::make_unique<RoutingForwarder>(std::move(options));
}

} // namespace foxtailwheel::serving
