#include "RoutingForwarder.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Longest wait for a usable server before the request is refused.
    constexpr Duration serverWait = 300ms;
    /// Pause between looks for a usable server.
    constexpr Duration serverRetryPause = 25ms;
    /// Pause within a resumable stream after which it is moved; callers leave after two seconds.
    constexpr Duration streamSilence = 1100ms;

} // namespace

bool RoutingForwarder::configure(std::shared_ptr<const config::RouteTable> table, TimePoint now, ForwardActions& out)
{
    if (m_table && table->version <= m_table->version)
        return false;
    m_table = std::move(table);
    m_directory.configure(*m_table);
    shareQueues(now);
    pumpAll(now, out);
    return true;
}

void RoutingForwarder::setServers(const std::vector<AnnouncedServer>& servers, TimePoint now, ForwardActions& out)
{
    m_directory.setServers(servers);
    pumpAll(now, out);
}

BatchQueue* RoutingForwarder::queueOf(const ServiceId& id)
{
    auto* state = m_directory.find(id);
    return state == nullptr ? nullptr : state->batches.get();
}

void RoutingForwarder::pumpAll(TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    for (const auto& it : m_directory.services())
        m_broker.pump(it.first, now, actions);
    carry(std::move(actions), now, out);
}

/// The owner of a service fills all of its servers; others, which only stand in for it, their part.
void RoutingForwarder::shareQueues(TimePoint now)
{
    for (auto& it : m_directory.services()) {
        if (it.second.batches)
            it.second.batches->setShare(m_broker.gathers(it.first, now) ? 1 : 1.0 / static_cast<double>(m_instances));
    }
}

void RoutingForwarder::setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
    const std::set<InstanceId>& gone, TimePoint now, ForwardActions& out)
{
    m_instances = std::max<std::size_t>(1, live.size());
    m_directory.setInstances(m_instances);
    BrokerActions actions;
    m_broker.setMembers(m_options.batchAcrossInstances ? owners : std::vector<InstanceId>(), gone, now, actions);
    shareQueues(now);
    carry(std::move(actions), now, out);
}

void RoutingForwarder::onPeer(const InstanceId& from, const PieceMessage& message, TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    if (std::holds_alternative<PiecesAsked>(message))
        shareQueues(now);
    m_broker.onMessage(from, message, now, actions);
    carry(std::move(actions), now, out);
}

void RoutingForwarder::onPeerLost(const InstanceId& instance, TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    m_broker.onLost(instance, now, actions);
    shareQueues(now);
    carry(std::move(actions), now, out);
}

ForwarderStatus RoutingForwarder::status(TimePoint now) const
{
    ForwarderStatus status;
    status.version = m_table ? m_table->version : 0;
    status.requests = m_runs.size();
    status.credentialsCurrent
        = m_table && (!m_table->needsCredentials || now - m_confirmedAt <= m_options.credentialLife);
    return status;
}

void RoutingForwarder::onBatchEnd(
    CallId call, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now, ForwardActions& out)
{
    const auto it = m_batchCalls.find(call);
    if (it == m_batchCalls.end())
        return;
    const auto service = it->second;
    m_batchCalls.erase(it);
    BrokerActions actions;
    m_broker.onBatchEnd(service, call, end, results, now, actions);
    carry(std::move(actions), now, out);
}

void RoutingForwarder::onLoad(CallId call, const ToldLoad& load, TimePoint now)
{
    auto* run = ownerOf(call);
    if (run == nullptr)
        return;
    const auto* open = run->findCall(call);
    if (auto* state = m_directory.find(run->service))
        state->pool->reported(open->server, { load.running, load.waiting, now });
}

void RoutingForwarder::onTime(TimePoint now, ForwardActions& out)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto timer = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        onTimer(timer, now, out);
    }
    BrokerActions actions;
    m_broker.onTime(now, actions);
    carry(std::move(actions), now, out);
}

void RoutingForwarder::onTimer(const Timer& timer, TimePoint now, ForwardActions& out)
{
    if (timer.kind == TimerKind::Batches) {
        m_pumpTimers.erase(timer.service);
        BrokerActions actions;
        m_broker.pump(timer.service, now, actions);
        carry(std::move(actions), now, out);
        return;
    }
    auto* run = find(timer.run);
    if (run == nullptr)
        return;
    const auto* call = run->findCall(timer.call);
    auto* state = m_directory.find(run->service);
    switch (timer.kind) {
    case TimerKind::Deadline:
        onDeadline(*run, now, out);
        return;
    case TimerKind::FindServer:
        if (!run->calls.empty() || !run->prepared())
            return;
        if (sendTo(*run, !run->tried.empty(), now, out))
            return;
        if (now - run->acceptedAt > std::max(serverWait, run->route->goal))
            fail(*run, run->mayHaveRun ? ForwardEnd::BackendFailed : ForwardEnd::NoServer, now, out);
        else
            setTimer(now + serverRetryPause, timer);
        return;
    case TimerKind::SecondAttempt:
        if (call == nullptr || call->headSeen || run->started >= run->route->maxServers)
            return;
        if (run->route->streams)
            moveStream(*run, now, out);
        else if (run->calls.size() == 1 && state->budget.take(1, now))
            sendTo(*run, true, now, out);
        return;
    case TimerKind::Silence:
        if (call == nullptr || run->started >= run->route->maxServers)
            return;
        if (now - run->lastBytesAt >= streamSilence)
            moveStream(*run, now, out);
        else
            setTimer(run->lastBytesAt + streamSilence, timer);
        return;
    case TimerKind::Batches:
        return;
    }
}

void RoutingForwarder::onDeadline(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    fail(run, run.mayHaveRun ? ForwardEnd::TimedOut : ForwardEnd::TimedOutWaiting, now, out);
}

std::unique_ptr<Forwarder> Forwarder::create(ForwarderOptions options)
{
    return std::make_unique<RoutingForwarder>(std::move(options));
}

} // namespace foxtailwheel::serving
