#include "RoutingForwarder.h"
#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <limits>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Maximum calls that end without running before a request fails. Each of them adds load to the service.
    constexpr std::uint32_t maxUnexecutedCalls = 3;
    /// Fraction of the latency target after which a hedged call is sent for a request without streaming.
    constexpr double hedgeDelayShare = 0.5;
    /// Fraction of the latency target after which a resumable stream without a first event fails over.
    constexpr double failoverDelayShare = 0.6;
    /// Minimum time without a first event before a stream fails over.
    constexpr Duration minFailoverDelay = 900ms;
    /// Time without an event after which a resumable stream fails over. A sound server may pause for more than a
    /// second.
    constexpr Duration streamSilence = 2s;
    /// A stream fails over at this fraction of the time without an event for which its caller waits, if that is
    /// earlier.
    constexpr double callerGapShare = 0.75;
    /// A stream is not silent before this multiple of the pause that its route allows.
    constexpr double streamSilenceFactor = 2;
    /// Callers disconnect from a stream after the longest of this time without an event and multiples of the latency
    /// target and of the pause that its route allows.
    constexpr Duration minCallerGap = 2s;
    constexpr double callerGapTargetFactor = 4;
    constexpr double callerGapPauseFactor = 8;
    /// Requests with less remaining time than this are not sent.
    constexpr Duration minRemainingTimeToSend = 5ms;
    /// A call counts as silent without a first event after this multiple of the route's usual time to the first byte,
    /// but not before `minSilence`.
    constexpr double silenceFactor = 4;
    constexpr Duration minSilence = 1s;
    /// Assumed time to the first byte until measurements are available.
    constexpr Duration initialTimeToFirstByte = 150ms;

} // namespace

/// Returns the key by which related requests are sent to the same server. Related prompts share all parts except the
/// last, so the key is the part before it.
std::optional<std::uint64_t> RoutingForwarder::affinityOf(const ForwardRun& run) const
{
    const auto& prompt = run.request.prompt;
    if (m_options.affinity && run.route->prefixAffinity && !prompt.empty())
        return affinityKeyOf(prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id);
    return run.stages.empty() ? std::nullopt : std::optional(hashOf(run.request.attemptId));
}

void RoutingForwarder::sendRequest(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    if (run.remainingTime(now) < minRemainingTimeToSend) {
        fail(run, run.mayHaveRun ? ForwardOutcome::TimedOut : ForwardOutcome::TimedOutWaiting, now, out);
        return;
    }
    if (refuseIfCrashing(run, now, out) || refuseIfEnding(run, now, out))
        return;
    if (!trySend(run, !run.triedServers.empty(), now, out) && !refuseIfWithoutServer(run, now, out)
        && !refuseIfAllPaused(run, now, out))
        awaitServer(run, serverRetryInterval, now);
}

/// Sends the request to a server, preferably one that it was not sent to before. Returns false if none is available.
bool RoutingForwarder::trySend(ForwardRun& run, bool retry, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    if (state == nullptr)
        return false;
    routing::PlacementRequest placementRequest;
    placementRequest.avoid = run.triedServers;
    placementRequest.healthyOnly = !run.idempotent();
    placementRequest.affinityKey = affinityOf(run);
    placementRequest.preferredZone = run.homeZone;
    placementRequest.allowedZones = run.allowedZones;
    if (placementRequest.healthyOnly)
        checkSuspectedServer(run.service, now, out);
    const bool scheduled = isScheduled(run.service);
    const auto demand = scheduled ? engineDemandOf(run.request) : routing::EngineDemand {};
    routing::EvenLoadPolicy policy(state->evenLoad, demand, placementRequest.affinityKey, now);
    if (scheduled)
        placementRequest.policy = &policy;
    const auto placement = state->pool->place(placementRequest, now);
    for (const auto& it : state->pool->takeNewlyLimited())
        logServerDecision("server_cold", { { "server", it.value() }, { "service", run.service.value() } });
    if (!placement)
        return false;
    if (!std::exchange(run.retryBudgetCredited, true))
        state->retryBudget.onFirstCall(now);
    const auto call = allocateCallId();
    const auto& server = placement->server;
    run.calls.push_back({ call, server.id, now, false });
    run.triedServers.push_back(server.id);
    ++run.possibleExecutions;
    run.mayHaveRun = true;
    m_calls[call] = run.id;
    if (scheduled)
        state->evenLoad.onCallSent(routing::PlacedCallId(call.value()), server.id, demand, now);
    SendUpstreamRequest send { call, run.id, server, run.request.message, run.request.attemptId, run.account,
        run.remainingTime(now), run.priority, run.inputs(), run.lastEventId, run.route->streaming, run.idempotent(),
        run.deadline, !run.route->stages.empty() };
    logDecision(run, "request_sent",
        { { "call", std::to_string(call.value()) }, { "server", server.id.value() }, { "again", retry ? "1" : "0" },
            { "after_ms", formatInteger(toMilliseconds(now - run.acceptedAt)) },
            { "expected_ms", formatInteger(toMilliseconds(placement->expectedTime)) } });
    out.emplace_back(std::move(send));
    if (run.idempotent() && m_options.hedging) {
        const auto targetSeconds = toSeconds(run.route->latencyTarget);
        const auto delay = run.route->streaming
            ? std::max(minFailoverDelay, fromSeconds(targetSeconds * failoverDelayShare))
            : fromSeconds(targetSeconds * hedgeDelayShare);
        setTimer(now + delay, { TimerKind::Hedge, run.id, call, {} });
    }
    return true;
}

/// Removes a call from the run and reports its outcome to the server pool.
/// @param stop Cancels the call as well.
void RoutingForwarder::closeCall(
    ForwardRun& run, CallId call, routing::CallOutcome outcome, bool stop, TimePoint now, ForwardActions& out)
{
    const auto it
        = std::find_if(run.calls.begin(), run.calls.end(), [call](const OpenCall& c) { return c.id == call; });
    if (it == run.calls.end())
        return;
    if (auto* state = m_directory.find(run.service)) {
        logHealthChange(run, it->server, state->pool->onCallEnded(it->server, { outcome, now - it->sentAt, {} }, now));
        shareTimeRatio(it->server,
            state->evenLoad.onCallEnded(
                routing::PlacedCallId(call.value()), outcome == routing::CallOutcome::Success, now));
    }
    if (stop)
        out.emplace_back(CancelUpstreamRequest { call });
    m_calls.erase(call);
    run.calls.erase(it);
    // The place of the call is free for the next request that waits.
    if (const auto queue = m_waitingRequests.find(run.service);
        queue != m_waitingRequests.end() && !queue->second.empty())
        scheduleServing(run.service, now);
}

void RoutingForwarder::logHealthChange(
    const ForwardRun& run, const BackendServerId& server, routing::HealthChange change) const
{
    if (change == routing::HealthChange::None)
        return;
    const bool recovered = change == routing::HealthChange::Recovered;
    logDecision(run, recovered ? "server_recovered" : "server_suspected",
        { { "server", server.value() }, { "service", run.service.value() } });
}

/// Returns the time to the first byte that most requests of the route stay within, from sending the call.
Duration RoutingForwarder::usualTimeToFirstByte(const ForwardRun& run) const
{
    const auto it = m_timesToFirstByte.find(run.route->name);
    return it == m_timesToFirstByte.end() ? initialTimeToFirstByte : it->second.meanPlusDeviation();
}

/// Returns the time within which most calls of the route are answered. The caller of a resumable stream can go on with
/// it elsewhere, so only its first event counts.
Duration RoutingForwarder::usualResponseTime(const ForwardRun& run) const
{
    const auto it = m_timesToEnd.find(run.route->name);
    return it == m_timesToEnd.end() ? usualTimeToFirstByte(run) : it->second.meanPlusDeviation();
}

void RoutingForwarder::recordResponseTime(const ForwardRun& run, const OpenCall& call, TimePoint now)
{
    if (run.route->streaming && run.idempotent())
        return;
    const auto it = m_timesToEnd.try_emplace(run.route->name, initialTimeToFirstByte).first;
    it->second.add(now - call.sentAt);
}

/// Returns true if a server has been silent for so long that the call counts as failed, although the caller ended it.
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

void RoutingForwarder::onResponseHead(CallId call, http::Response head, TimePoint now, ForwardActions& out)
{
    auto* run = findRunOfCall(call);
    if (run == nullptr)
        return;
    auto* openCall = run->findCall(call);
    openCall->headReceived = true;
    run->lastEventAt = now;
    recordTimeToFirstByte(*run, *openCall, now);
    // The first event proves that the server has read its inputs.
    for (StageIndex i = 0; i < run->stages.size(); ++i)
        releaseStage(*run, i, now, out);
    if (!run->route->streaming)
        return;
    logDecision(*run, "stream_began",
        { { "call", std::to_string(call.value()) },
            { "after_ms", formatInteger(toMilliseconds(now - run->acceptedAt)) } });
    if (!std::exchange(run->headSent, true))
        out.emplace_back(SendResponseHead { run->id, std::move(head) });
    if (run->idempotent() && m_options.hedging)
        setTimer(now + streamSilenceTimeout(*run), { TimerKind::StreamSilence, run->id, call, {} });
}

void RoutingForwarder::onResponseData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out)
{
    auto* run = findRunOfCall(call);
    if (run == nullptr || !run->headSent)
        return;
    std::string forwarded;
    m_partialEventBytes -= run->eventSplitter.partialBytes();
    const auto events = run->eventSplitter.feed(bytes);
    m_partialEventBytes += run->eventSplitter.partialBytes();
    for (const auto& event : events) {
        // Comments and parts of events are no progress: a stalled stream can send them now and then.
        if (event.hasFields) {
            run->lastEventAt = now;
            onEvent(*run, *run->findCall(call), now, out);
        }
        // A resuming server may repeat events that the caller has already received.
        if (event.id && run->lastEventId && *event.id <= *run->lastEventId)
            continue;
        if (event.id)
            run->lastEventId = event.id;
        run->hasUnnumberedEvents = run->hasUnnumberedEvents || (event.hasFields && !event.id);
        forwarded += event.bytes;
    }
    if (!forwarded.empty())
        out.emplace_back(SendResponseData { run->id, std::move(forwarded) });
    breakOversizedStreams(*run, call, now, out);
}

/// Breaks the stream of a call if its event is too large, and the one with the largest incomplete event if those of all
/// streams together are.
void RoutingForwarder::breakOversizedStreams(ForwardRun& run, CallId call, TimePoint now, ForwardActions& out)
{
    if (run.eventSplitter.isOversized()) {
        breakStream(run, call, now, out);
        return;
    }
    if (m_partialEventBytes <= m_options.maxPartialEventBytes)
        return;
    const auto largest = std::max_element(m_runs.begin(), m_runs.end(), [](const auto& left, const auto& right) {
        return left.second->eventSplitter.partialBytes() < right.second->eventSplitter.partialBytes();
    });
    auto& largestRun = *largest->second;
    if (!largestRun.calls.empty())
        breakStream(largestRun, largestRun.calls.front().id, now, out);
}

/// Ends a call whose bytes are no stream of events.
void RoutingForwarder::breakStream(ForwardRun& run, CallId call, TimePoint now, ForwardActions& out)
{
    logDecision(run, "event_oversized",
        { { "call", std::to_string(call.value()) },
            { "after_ms", formatInteger(toMilliseconds(now - run.acceptedAt)) } });
    clearPartialEvent(run);
    closeCall(run, call, routing::CallOutcome::Failed, true, now, out);
    onCallBroken(run, ForwardCallOutcome::Broken, now, out);
}

void RoutingForwarder::clearPartialEvent(ForwardRun& run)
{
    m_partialEventBytes -= run.eventSplitter.partialBytes();
    run.eventSplitter = EventSplitter(m_options.maxEventBytes);
}

/// Returns the time without an event after which the caller of a stream disconnects.
Duration RoutingForwarder::callerGap(const ForwardRun& run)
{
    return std::max({ minCallerGap, fromSeconds(toSeconds(run.route->latencyTarget) * callerGapTargetFactor),
        fromSeconds(toSeconds(run.route->eventGapTarget) * callerGapPauseFactor) });
}

/// Returns the time until which another server can go on with a stream that has begun: its next event has to be there
/// before the caller disconnects.
TimePoint RoutingForwarder::resumableUntil(const ForwardRun& run) const
{
    if (!run.headSent)
        return TimePoint::min();
    return std::min(run.deadline, run.lastEventAt + callerGap(run)) - usualTimeToFirstByte(run);
}

Duration RoutingForwarder::streamSilenceTimeout(const ForwardRun& run)
{
    return std::max(std::min(streamSilence, fromSeconds(toSeconds(callerGap(run)) * callerGapShare)),
        fromSeconds(toSeconds(run.route->eventGapTarget) * streamSilenceFactor));
}

/// Returns false for a stream that ended without an event, or inside one. Without a length, the end of the connection
/// is no sign of a whole response.
bool RoutingForwarder::isWholeStream(const ForwardRun& run, const OpenCall& call)
{
    const bool hasEvents = call.eventReceived || run.lastEventId;
    return hasEvents && !run.eventSplitter.hasPartialEvent();
}

void RoutingForwarder::onCallEnd(
    CallId call, ForwardCallOutcome outcome, http::Response response, TimePoint now, ForwardActions& out)
{
    auto* run = findRunOfCall(call);
    if (run == nullptr)
        return;
    const auto openCall = *run->findCall(call);
    const bool headReceived = openCall.headReceived;
    const bool isStream = run->route->streaming && headReceived;
    // An empty rest of a resumed stream looks like one that broke off.
    const bool isEmptyRest = outcome == ForwardCallOutcome::Undelimited && run->lastEventId && !openCall.eventReceived;
    if (outcome == ForwardCallOutcome::Undelimited)
        outcome = isStream && !openCall.eventReceived ? ForwardCallOutcome::Broken : ForwardCallOutcome::Complete;
    if (outcome == ForwardCallOutcome::Complete && isStream && !isWholeStream(*run, openCall))
        outcome = ForwardCallOutcome::Broken;
    if (outcome != ForwardCallOutcome::Complete)
        logDecision(*run, "call_failed",
            { { "call", std::to_string(call.value()) }, { "end", std::string(toString(outcome)) },
                { "status", std::to_string(response.status) },
                { "after_ms", formatInteger(toMilliseconds(now - run->acceptedAt)) },
                { "head", headReceived ? "1" : "0" }, { "event", openCall.eventReceived ? "1" : "0" },
                { "parts", formatSharedParts(run->request.prompt) } });
    switch (outcome) {
    case ForwardCallOutcome::Complete:
    case ForwardCallOutcome::Undelimited:
        recordResponseTime(*run, openCall, now);
        closeCall(*run, call, response.status >= 500 ? routing::CallOutcome::Failed : routing::CallOutcome::Success,
            false, now, out);
        if (run->route->streaming && headReceived)
            finishStream(*run, ForwardOutcome::Answered, now, out);
        else
            onResponseComplete(*run, std::move(response), now, out);
        return;
    case ForwardCallOutcome::NotSent:
    case ForwardCallOutcome::Misdirected:
        closeCall(*run, call, routing::CallOutcome::Unreachable, false, now, out);
        onCallNotRun(*run, outcome, now, out);
        return;
    case ForwardCallOutcome::Refused:
        closeCall(*run, call, routing::CallOutcome::Rejected, false, now, out);
        onCallNotRun(*run, outcome, now, out);
        return;
    case ForwardCallOutcome::InputMissing:
        closeCall(*run, call, routing::CallOutcome::Success, false, now, out);
        onCallNotRun(*run, outcome, now, out);
        return;
    case ForwardCallOutcome::Broken:
    case ForwardCallOutcome::BrokenInHead:
        if (!isEmptyRest && (headReceived || outcome == ForwardCallOutcome::BrokenInHead))
            recordCrash(*run, openCall, now, out);
        m_directory.suspectCold(openCall.server, now);
        [[fallthrough]];
    case ForwardCallOutcome::TimedOut:
        closeCall(*run, call, routing::CallOutcome::Failed, false, now, out);
        onCallBroken(*run, outcome, now, out);
        return;
    }
}

/// The call definitely did not run, so the request may be sent to another server even if it is not idempotent.
void RoutingForwarder::onCallNotRun(ForwardRun& run, ForwardCallOutcome outcome, TimePoint now, ForwardActions& out)
{
    --run.possibleExecutions;
    run.mayHaveRun = run.possibleExecutions > 0;
    if (!run.calls.empty())
        return;
    if (outcome == ForwardCallOutcome::InputMissing) {
        run.triedServers.clear();
        restartStages(run, now, out);
        return;
    }
    auto* state = m_directory.find(run.service);
    const bool rejectedOften = ++run.unexecutedCalls > maxUnexecutedCalls;
    const bool mayWait = now + failoverRetryInterval < resumableUntil(run);
    const bool resends = !rejectedOften || mayWait;
    if (resends && outcome != ForwardCallOutcome::NotSent)
        run.awaitsRetryBudget = !state->retryBudget.tryAcquire(1, now);
    if (!rejectedOften && !run.awaitsRetryBudget)
        sendRequest(run, now, out);
    else if (mayWait)
        awaitServer(run, failoverRetryInterval, now);
    else
        fail(run, run.mayHaveRun ? ForwardOutcome::BackendFailed : ForwardOutcome::NotStarted, now, out);
}

/// A server that ends after it has begun to respond, and before the first event, probably crashed on the request.
void RoutingForwarder::recordCrash(const ForwardRun& run, const OpenCall& call, TimePoint now, ForwardActions& out)
{
    if (!run.route->streaming || call.eventReceived)
        return;
    auto update = m_crashingParts.onCrash(run.request.prompt, call.server, call.sentAt, now);
    if (update.added.empty() && update.removed.empty())
        return;
    logDecision(run, "crash_recorded",
        { { "server", call.server.value() }, { "parts", std::to_string(update.added.size()) },
            { "blocked_ms",
                formatInteger(
                    toMilliseconds(m_crashingParts.blockedFor(run.request.prompt, now).value_or(Duration {}))) } });
    out.emplace_back(std::move(update));
}

/// Notes that a call has received an event with fields.
void RoutingForwarder::onEvent(const ForwardRun& run, OpenCall& call, TimePoint now, ForwardActions& out)
{
    if (std::exchange(call.eventReceived, true))
        return;
    if (auto* state = m_directory.find(run.service))
        shareTimeRatio(call.server, state->evenLoad.onCallBegan(routing::PlacedCallId(call.id.value()), now));
    auto update = m_crashingParts.onAnswerBegan(run.request.prompt, now);
    if (update.removed.empty())
        return;
    logDecision(run, "crash_records_removed", { { "records", std::to_string(update.removed.size()) } });
    out.emplace_back(std::move(update));
}

/// The call may have run, so only idempotent requests are sent to another server.
void RoutingForwarder::onCallBroken(ForwardRun& run, ForwardCallOutcome outcome, TimePoint now, ForwardActions& out)
{
    if (!run.calls.empty())
        return;
    const auto failure
        = outcome == ForwardCallOutcome::TimedOut ? ForwardOutcome::TimedOut : ForwardOutcome::BackendFailed;
    auto* state = m_directory.find(run.service);
    const bool allowed
        = run.idempotent() && !run.hasUnnumberedEvents && run.possibleExecutions < run.route->maxCallsPerRequest;
    if (!allowed || !state->retryBudget.tryAcquire(1, now)) {
        fail(run, run.headSent ? ForwardOutcome::StreamBroken : failure, now, out);
        return;
    }
    resendRequest(run, now, out);
}

/// Sends a request again. If its inputs were already released, the stages are run again first.
void RoutingForwarder::resendRequest(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    clearPartialEvent(run);
    if (run.inputsReleased())
        runStagesAgain(run, now, out);
    else
        sendRequest(run, now, out);
}

/// Forwards a complete response, or retries an idempotent request after a response with status 5xx.
void RoutingForwarder::onResponseComplete(ForwardRun& run, http::Response response, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    const bool failed = response.status >= 500;
    const bool retry = failed && run.idempotent() && run.possibleExecutions < run.route->maxCallsPerRequest
        && !run.headSent && run.calls.empty() && run.remainingTime(now) > serverRetryInterval;
    if (retry && state->retryBudget.tryAcquire(1, now)) {
        logDecision(run, "answer_not_used", { { "status", std::to_string(response.status) } });
        resendRequest(run, now, out);
        return;
    }
    // The server has not said that it did not run the request, and the caller would send it again.
    if (!run.idempotent() && meansNotRun(response.status)) {
        logDecision(run, "answer_not_used", { { "status", std::to_string(response.status) } });
        fail(run, ForwardOutcome::BackendFailed, now, out);
        return;
    }
    if (run.headSent) {
        finishStream(run, ForwardOutcome::StreamBroken, now, out);
        return;
    }
    logDecision(run, "request_answered",
        { { "status", std::to_string(response.status) },
            { "after_ms", formatInteger(toMilliseconds(now - run.acceptedAt)) } });
    out.emplace_back(SendResponse { run.id, std::move(response), ForwardOutcome::Answered, {} });
    closeRun(run, now, out);
}

/// Cancels a stream whose server is silent and resumes it on another server. Returns false and leaves the stream as it
/// is if there is none or the retry budget is used up: the server may only be slow.
bool RoutingForwarder::failOverStream(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    if (state == nullptr || run.hasUnnumberedEvents)
        return false;
    const auto servers = state->pool->availableServers(std::numeric_limits<std::uint32_t>::max(), now);
    const bool hasUntried = std::any_of(servers.begin(), servers.end(), [&run](const config::BackendServer& it) {
        const bool isAllowed = !run.allowedZones || run.allowedZones->contains(it.zone);
        return isAllowed
            && std::find(run.triedServers.begin(), run.triedServers.end(), it.id) == run.triedServers.end();
    });
    if (!hasUntried || !isAnsweredBeforeEnd(run, now) || !state->retryBudget.tryAcquire(1, now))
        return false;
    while (!run.calls.empty())
        closeCall(run, run.calls.front().id, routing::CallOutcome::Failed, true, now, out);
    resendRequest(run, now, out);
    return true;
}

} // namespace foxtailwheel::serving
