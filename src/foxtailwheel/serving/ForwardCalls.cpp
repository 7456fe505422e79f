#include "RoutingForwarder.h"
#include "foxtailwheel/base/Hash.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Calls that ended without running before a request is given up; each one is an arrival at the service.
    constexpr std::uint32_t maxUnexecutedCalls = 3;
    /// Pause between looks for a usable server.
    constexpr Duration serverRetryInterval = 25ms;
    /// Share of a plain request's goal after which a second server is asked.
    constexpr double hedgeDelayShare = 0.5;
    /// Share of a resumable stream's goal without its first event after which it is moved.
    constexpr double failoverDelayShare = 0.6;
    /// Least time without the first event after which a stream is moved.
    constexpr Duration minFailoverDelay = 900ms;
    /// Pause within a resumable stream after which it is moved; callers leave after two seconds.
    constexpr Duration streamSilenceTimeout = 1100ms;
    /// Part of its time that a request must have left to be worth sending.
    constexpr Duration minRemainingTimeToSend = 5ms;
    /// A call without a first event counts as broken after this multiple of the route's usual time, and this time.
    constexpr double silenceFactor = 4;
    constexpr Duration minSilence = 1s;
    /// Time from sending a request to the first event of its answer, until it is measured.
    constexpr Duration initialTimeToFirstByte = 150ms;

} // namespace

/// Requests of the same subject meet at the same server: the part before the last is the one they share.
std::optional<std::uint64_t> RoutingForwarder::affinityOf(const ForwardRun& run) const
{
    const auto& prompt = run.request.prompt;
    if (m_options.affinity && run.route->prefixAffinity && !prompt.empty())
        return prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id;
    return run.stages.empty() ? std::nullopt : std::optional(hashOf(run.request.name));
}

void RoutingForwarder::sendRequest(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    if (run.remainingTime(now) < minRemainingTimeToSend) {
        fail(run, run.mayHaveRun ? ForwardEnd::TimedOut : ForwardEnd::TimedOutWaiting, now, out);
        return;
    }
    if (!trySend(run, !run.triedServers.empty(), now, out))
        setTimer(now + serverRetryInterval, { TimerKind::FindServer, run.id, {}, {} });
}

bool RoutingForwarder::trySend(ForwardRun& run, bool retry, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    if (state == nullptr)
        return false;
    routing::PlacementRequest placementRequest;
    placementRequest.avoid = run.triedServers;
    placementRequest.careful = !run.idempotent();
    placementRequest.affinity = affinityOf(run);
    placementRequest.zone = run.homeZone;
    const auto placement = state->pool->place(placementRequest, now);
    if (!placement)
        return false;
    if (!std::exchange(run.retryBudgetCredited, true))
        state->retryBudget.earn(now);
    const auto call = allocateCallId();
    const auto& server = placement->server;
    run.calls.push_back({ call, server.id, now, false });
    run.triedServers.push_back(server.id);
    ++run.possibleExecutions;
    run.mayHaveRun = true;
    m_calls[call] = run.id;
    SendForward send { call, run.id, server, run.request.message, run.request.name, run.account, run.remainingTime(now),
        run.priority, run.inputs(), run.lastEventId, run.route->streams, run.idempotent(), run.deadline };
    logDecision(run, "request_sent",
        { { "call", std::to_string(call.value()) }, { "server", server.id.value() }, { "again", retry ? "1" : "0" },
            { "after_ms", formatInteger(toMilliseconds(now - run.acceptedAt)) },
            { "expected_ms", formatInteger(toMilliseconds(placement->expected)) } });
    out.emplace_back(std::move(send));
    if (run.idempotent() && m_options.hedging) {
        const auto goal = toSeconds(run.route->goal);
        const auto delay = run.route->streams ? std::max(minFailoverDelay, fromSeconds(goal * failoverDelayShare))
                                              : fromSeconds(goal * hedgeDelayShare);
        setTimer(now + delay, { TimerKind::Hedge, run.id, call, {} });
    }
    return true;
}

/// Ends a call in the run's and the pool's books.
void RoutingForwarder::closeCall(
    ForwardRun& run, CallId call, routing::CallSign outcome, bool stop, TimePoint now, ForwardActions& out)
{
    const auto it
        = std::find_if(run.calls.begin(), run.calls.end(), [call](const OpenCall& c) { return c.id == call; });
    if (it == run.calls.end())
        return;
    if (auto* state = m_directory.find(run.service))
        state->pool->ended(it->server, { outcome, now - it->sentAt, {} }, now);
    if (stop)
        out.emplace_back(StopForward { call });
    m_calls.erase(call);
    run.calls.erase(it);
}

/// Time from the last stage's results to the first event of an answer, as it is for most requests of the route.
Duration RoutingForwarder::usualTimeToFirstByte(const ForwardRun& run) const
{
    const auto it = m_timesToFirstByte.find(run.route->name);
    return it == m_timesToFirstByte.end() ? initialTimeToFirstByte : it->second.usual();
}

/// Whether a server has not answered for so long that it is a sign against it, though the caller ended the call.
bool RoutingForwarder::isSilent(const ForwardRun& run, const OpenCall& call, TimePoint now) const
{
    const auto limit = std::max(minSilence, fromSeconds(toSeconds(usualTimeToFirstByte(run)) * silenceFactor));
    return !call.headReceived && now - call.sentAt > limit;
}

void RoutingForwarder::recordTimeToFirstByte(const ForwardRun& run, const OpenCall& call, TimePoint now)
{
    const auto it = m_timesToFirstByte.try_emplace(run.route->name, initialTimeToFirstByte).first;
    it->second.add(now - call.sentAt);
}

void RoutingForwarder::onHead(CallId call, http::Response head, TimePoint now, ForwardActions& out)
{
    auto* run = findRunOfCall(call);
    if (run == nullptr)
        return;
    auto* open = run->findCall(call);
    open->headReceived = true;
    run->lastDataAt = now;
    recordTimeToFirstByte(*run, *open, now);
    // The first event shows that the server has read its inputs.
    for (StageIndex i = 0; i < run->stages.size(); ++i)
        releaseStage(*run, i, now, out);
    if (!run->route->streams)
        return;
    logDecision(*run, "stream_began",
        { { "call", std::to_string(call.value()) },
            { "after_ms", formatInteger(toMilliseconds(now - run->acceptedAt)) } });
    if (!std::exchange(run->headSent, true))
        out.emplace_back(ReplyHead { run->id, std::move(head) });
    if (run->idempotent() && m_options.hedging)
        setTimer(now + streamSilenceTimeout, { TimerKind::StreamSilence, run->id, call, {} });
}

void RoutingForwarder::onData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out)
{
    auto* run = findRunOfCall(call);
    if (run == nullptr || !run->headSent)
        return;
    run->lastDataAt = now;
    std::string forwarded;
    for (auto& event : run->eventSplitter.feed(bytes)) {
        // A server that resumes may repeat events that the caller has.
        if (event.id && run->lastEventId && *event.id <= *run->lastEventId)
            continue;
        if (event.id)
            run->lastEventId = event.id;
        forwarded += event.bytes;
    }
    if (!forwarded.empty())
        out.emplace_back(ReplyBytes { run->id, std::move(forwarded) });
}

void RoutingForwarder::onEnd(
    CallId call, ForwardCallEnd end, http::Response response, TimePoint now, ForwardActions& out)
{
    auto* run = findRunOfCall(call);
    if (run == nullptr)
        return;
    const bool headReceived = run->findCall(call)->headReceived;
    if (end != ForwardCallEnd::Complete)
        logDecision(*run, "call_failed",
            { { "call", std::to_string(call.value()) }, { "end", std::string(toString(end)) },
                { "status", std::to_string(response.status) },
                { "after_ms", formatInteger(toMilliseconds(now - run->acceptedAt)) } });
    switch (end) {
    case ForwardCallEnd::Complete:
        closeCall(
            *run, call, response.status >= 500 ? routing::CallSign::Broken : routing::CallSign::Good, false, now, out);
        if (run->route->streams && headReceived)
            finishStream(
                *run, run->eventSplitter.hasPartialEvent() ? ForwardEnd::StreamBroken : ForwardEnd::Answered, now, out);
        else
            onResponseComplete(*run, std::move(response), now, out);
        return;
    case ForwardCallEnd::NotSent:
    case ForwardCallEnd::Misdirected:
        closeCall(*run, call, routing::CallSign::Unreachable, false, now, out);
        onCallNotRun(*run, end, now, out);
        return;
    case ForwardCallEnd::Refused:
        closeCall(*run, call, routing::CallSign::Busy, false, now, out);
        onCallNotRun(*run, end, now, out);
        return;
    case ForwardCallEnd::InputGone:
        closeCall(*run, call, routing::CallSign::Good, false, now, out);
        onCallNotRun(*run, end, now, out);
        return;
    case ForwardCallEnd::Broken:
    case ForwardCallEnd::TimedOut:
        closeCall(*run, call, routing::CallSign::Broken, false, now, out);
        onCallBroken(*run, end, now, out);
        return;
    }
}

/// The call certainly did not run, so another server may be asked even where a request may run only once.
void RoutingForwarder::onCallNotRun(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out)
{
    --run.possibleExecutions;
    run.mayHaveRun = run.possibleExecutions > 0;
    if (!run.calls.empty())
        return;
    if (end == ForwardCallEnd::InputGone) {
        run.triedServers.clear();
        restartStages(run, now, out);
        return;
    }
    auto* state = m_directory.find(run.service);
    const bool arrived = end != ForwardCallEnd::NotSent;
    if (++run.unexecutedCalls > maxUnexecutedCalls || (arrived && !state->retryBudget.take(1, now))) {
        fail(run, run.mayHaveRun ? ForwardEnd::BackendFailed : ForwardEnd::NotStarted, now, out);
        return;
    }
    sendRequest(run, now, out);
}

/// The call may have run: only what may be repeated goes to another server.
void RoutingForwarder::onCallBroken(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out)
{
    if (!run.calls.empty())
        return;
    const auto failure = end == ForwardCallEnd::TimedOut ? ForwardEnd::TimedOut : ForwardEnd::BackendFailed;
    auto* state = m_directory.find(run.service);
    const bool allowed = run.idempotent() && run.possibleExecutions < run.route->maxServers;
    if (!allowed || !state->retryBudget.take(1, now)) {
        fail(run, run.headSent ? ForwardEnd::StreamBroken : failure, now, out);
        return;
    }
    retryOnOtherServer(run, now, out);
}

/// Sends a request once more; what its first call had released is made again before.
void RoutingForwarder::retryOnOtherServer(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    run.eventSplitter = {};
    const bool released
        = std::any_of(run.stages.begin(), run.stages.end(), [](const StageProgress& it) { return it.released; });
    if (released)
        restartStages(run, now, out);
    else
        sendRequest(run, now, out);
}

void RoutingForwarder::onResponseComplete(ForwardRun& run, http::Response response, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    const bool failed = response.status >= 500;
    const bool retry = failed && run.idempotent() && run.possibleExecutions < run.route->maxServers && !run.headSent
        && run.calls.empty() && run.remainingTime(now) > serverRetryInterval;
    if (retry && state->retryBudget.take(1, now)) {
        logDecision(run, "answer_not_used", { { "status", std::to_string(response.status) } });
        retryOnOtherServer(run, now, out);
        return;
    }
    if (run.headSent) {
        finishStream(run, ForwardEnd::StreamBroken, now, out);
        return;
    }
    logDecision(run, "request_answered",
        { { "status", std::to_string(response.status) },
            { "after_ms", formatInteger(toMilliseconds(now - run.acceptedAt)) } });
    out.emplace_back(ReplyWhole { run.id, std::move(response), ForwardEnd::Answered, {} });
    closeRun(run, now, out);
}

/// Takes a stream away from a server that has gone silent and goes on at another.
void RoutingForwarder::failOverStream(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    while (!run.calls.empty())
        closeCall(run, run.calls.front().id, routing::CallSign::Broken, true, now, out);
    onCallBroken(run, ForwardCallEnd::TimedOut, now, out);
}

} // namespace foxtailwheel::serving
