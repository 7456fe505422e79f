#include "RoutingForwarder.h"
#include "foxtailwheel/base/Hash.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Calls that ended without running before a request is given up; each one is an arrival at the service.
    constexpr std::uint32_t mostRefusals = 3;
    /// Pause between looks for a usable server.
    constexpr Duration serverRetryPause = 25ms;
    /// Share of a plain request's goal after which a second server is asked.
    constexpr double secondAttemptShare = 0.5;
    /// Share of a resumable stream's goal without its first event after which it is moved.
    constexpr double moveShare = 0.6;
    /// Least time without the first event after which a stream is moved.
    constexpr Duration leastMoveDelay = 900ms;
    /// Pause within a resumable stream after which it is moved; callers leave after two seconds.
    constexpr Duration streamSilence = 1100ms;
    /// Part of its time that a request must have left to be worth sending.
    constexpr Duration leastTimeToSend = 5ms;
    /// A call without a first event counts as broken after this multiple of the route's usual time, and this time.
    constexpr double silentShare = 4;
    constexpr Duration leastSilence = 1s;
    /// Time from sending a request to the first event of its answer, until it is measured.
    constexpr Duration initialAnswerTime = 150ms;

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
    if (run.timeLeft(now) < leastTimeToSend) {
        fail(run, run.mayHaveRun ? ForwardEnd::TimedOut : ForwardEnd::TimedOutWaiting, now, out);
        return;
    }
    if (!sendTo(run, !run.tried.empty(), now, out))
        setTimer(now + serverRetryPause, { TimerKind::FindServer, run.id, {}, {} });
}

bool RoutingForwarder::sendTo(ForwardRun& run, bool again, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    if (state == nullptr)
        return false;
    routing::PlacementRequest wanted;
    wanted.avoid = run.tried;
    wanted.careful = !run.idempotent();
    wanted.affinity = affinityOf(run);
    wanted.zone = run.homeZone;
    const auto placement = state->pool->place(wanted, now);
    if (!placement)
        return false;
    if (!std::exchange(run.budgetEarned, true))
        state->budget.earn(now);
    const auto call = newCall();
    const auto& server = placement->server;
    run.calls.push_back({ call, server.id, now, false });
    run.tried.push_back(server.id);
    ++run.started;
    run.mayHaveRun = true;
    m_calls[call] = run.id;
    SendForward send { call, run.id, server, run.request.message, run.request.name, run.account, run.timeLeft(now),
        run.priority, run.inputs(), run.lastEvent, run.route->streams, run.idempotent(), run.deadline };
    note(run, "request_sent",
        { { "call", std::to_string(call.value()) }, { "server", server.id.value() }, { "again", again ? "1" : "0" },
            { "after_ms", logNumber(toMilliseconds(now - run.acceptedAt)) },
            { "expected_ms", logNumber(toMilliseconds(placement->expected)) } });
    out.emplace_back(std::move(send));
    if (run.idempotent() && m_options.secondAttempts) {
        const auto goal = toSeconds(run.route->goal);
        const auto delay = run.route->streams ? std::max(leastMoveDelay, fromSeconds(goal * moveShare))
                                              : fromSeconds(goal * secondAttemptShare);
        setTimer(now + delay, { TimerKind::SecondAttempt, run.id, call, {} });
    }
    return true;
}

/// Ends a call in the run's and the pool's books.
void RoutingForwarder::closeCall(
    ForwardRun& run, CallId call, routing::CallSign sign, bool stop, TimePoint now, ForwardActions& out)
{
    const auto it
        = std::find_if(run.calls.begin(), run.calls.end(), [call](const OpenCall& c) { return c.id == call; });
    if (it == run.calls.end())
        return;
    if (auto* state = m_directory.find(run.service))
        state->pool->ended(it->server, { sign, now - it->sentAt, {} }, now);
    if (stop)
        out.emplace_back(StopForward { call });
    m_calls.erase(call);
    run.calls.erase(it);
}

/// Time from the last stage's results to the first event of an answer, as it is for most requests of the route.
Duration RoutingForwarder::answerTime(const ForwardRun& run) const
{
    const auto it = m_answerTimes.find(run.route->name);
    return it == m_answerTimes.end() ? initialAnswerTime : it->second.usual();
}

/// Whether a server has not answered for so long that it is a sign against it, though the caller ended the call.
bool RoutingForwarder::isSilent(const ForwardRun& run, const OpenCall& call, TimePoint now) const
{
    const auto limit = std::max(leastSilence, fromSeconds(toSeconds(answerTime(run)) * silentShare));
    return !call.headSeen && now - call.sentAt > limit;
}

void RoutingForwarder::learnAnswerTime(const ForwardRun& run, const OpenCall& call, TimePoint now)
{
    const auto it = m_answerTimes.try_emplace(run.route->name, initialAnswerTime).first;
    it->second.add(now - call.sentAt);
}

void RoutingForwarder::onHead(CallId call, http::Response head, TimePoint now, ForwardActions& out)
{
    auto* run = ownerOf(call);
    if (run == nullptr)
        return;
    auto* open = run->findCall(call);
    open->headSeen = true;
    run->lastBytesAt = now;
    learnAnswerTime(*run, *open, now);
    // The first event shows that the server has read its inputs.
    for (StageIndex i = 0; i < run->stages.size(); ++i)
        releaseStage(*run, i, now, out);
    if (!run->route->streams)
        return;
    note(*run, "stream_began",
        { { "call", std::to_string(call.value()) }, { "after_ms", logNumber(toMilliseconds(now - run->acceptedAt)) } });
    if (!std::exchange(run->headSent, true))
        out.emplace_back(ReplyHead { run->id, std::move(head) });
    if (run->idempotent() && m_options.secondAttempts)
        setTimer(now + streamSilence, { TimerKind::Silence, run->id, call, {} });
}

void RoutingForwarder::onData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out)
{
    auto* run = ownerOf(call);
    if (run == nullptr || !run->headSent)
        return;
    run->lastBytesAt = now;
    std::string passed;
    for (auto& event : run->events.feed(bytes)) {
        // A server that resumes may repeat events that the caller has.
        if (event.id && run->lastEvent && *event.id <= *run->lastEvent)
            continue;
        if (event.id)
            run->lastEvent = event.id;
        passed += event.bytes;
    }
    if (!passed.empty())
        out.emplace_back(ReplyBytes { run->id, std::move(passed) });
}

void RoutingForwarder::onEnd(
    CallId call, ForwardCallEnd end, http::Response response, TimePoint now, ForwardActions& out)
{
    auto* run = ownerOf(call);
    if (run == nullptr)
        return;
    const bool headSeen = run->findCall(call)->headSeen;
    if (end != ForwardCallEnd::Complete)
        note(*run, "call_failed",
            { { "call", std::to_string(call.value()) }, { "end", std::string(toString(end)) },
                { "status", std::to_string(response.status) },
                { "after_ms", logNumber(toMilliseconds(now - run->acceptedAt)) } });
    switch (end) {
    case ForwardCallEnd::Complete:
        closeCall(
            *run, call, response.status >= 500 ? routing::CallSign::Broken : routing::CallSign::Good, false, now, out);
        if (run->route->streams && headSeen)
            finishStream(*run, run->events.midEvent() ? ForwardEnd::StreamBroken : ForwardEnd::Answered, now, out);
        else
            complete(*run, std::move(response), now, out);
        return;
    case ForwardCallEnd::NotSent:
    case ForwardCallEnd::Misdirected:
        closeCall(*run, call, routing::CallSign::Unreachable, false, now, out);
        callNotRun(*run, end, now, out);
        return;
    case ForwardCallEnd::Refused:
        closeCall(*run, call, routing::CallSign::Busy, false, now, out);
        callNotRun(*run, end, now, out);
        return;
    case ForwardCallEnd::InputGone:
        closeCall(*run, call, routing::CallSign::Good, false, now, out);
        callNotRun(*run, end, now, out);
        return;
    case ForwardCallEnd::Broken:
    case ForwardCallEnd::TimedOut:
        closeCall(*run, call, routing::CallSign::Broken, false, now, out);
        callBroken(*run, end, now, out);
        return;
    }
}

/// The call certainly did not run, so another server may be asked even where a request may run only once.
void RoutingForwarder::callNotRun(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out)
{
    --run.started;
    run.mayHaveRun = run.started > 0;
    if (!run.calls.empty())
        return;
    if (end == ForwardCallEnd::InputGone) {
        run.tried.clear();
        restartStages(run, now, out);
        return;
    }
    auto* state = m_directory.find(run.service);
    const bool arrived = end != ForwardCallEnd::NotSent;
    if (++run.refusals > mostRefusals || (arrived && !state->budget.take(1, now))) {
        fail(run, run.mayHaveRun ? ForwardEnd::BackendFailed : ForwardEnd::NotStarted, now, out);
        return;
    }
    sendRequest(run, now, out);
}

/// The call may have run: only what may be repeated goes to another server.
void RoutingForwarder::callBroken(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out)
{
    if (!run.calls.empty())
        return;
    const auto failure = end == ForwardCallEnd::TimedOut ? ForwardEnd::TimedOut : ForwardEnd::BackendFailed;
    auto* state = m_directory.find(run.service);
    const bool allowed = run.idempotent() && run.started < run.route->maxServers;
    if (!allowed || !state->budget.take(1, now)) {
        fail(run, run.headSent ? ForwardEnd::StreamBroken : failure, now, out);
        return;
    }
    sendElsewhere(run, now, out);
}

/// Sends a request once more; what its first call had released is made again before.
void RoutingForwarder::sendElsewhere(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    run.events = {};
    const bool released
        = std::any_of(run.stages.begin(), run.stages.end(), [](const StageProgress& it) { return it.released; });
    if (released)
        restartStages(run, now, out);
    else
        sendRequest(run, now, out);
}

void RoutingForwarder::complete(ForwardRun& run, http::Response response, TimePoint now, ForwardActions& out)
{
    auto* state = m_directory.find(run.service);
    const bool failed = response.status >= 500;
    const bool again = failed && run.idempotent() && run.started < run.route->maxServers && !run.headSent
        && run.calls.empty() && run.timeLeft(now) > serverRetryPause;
    if (again && state->budget.take(1, now)) {
        note(run, "answer_not_used", { { "status", std::to_string(response.status) } });
        sendElsewhere(run, now, out);
        return;
    }
    if (run.headSent) {
        finishStream(run, ForwardEnd::StreamBroken, now, out);
        return;
    }
    note(run, "request_answered",
        { { "status", std::to_string(response.status) },
            { "after_ms", logNumber(toMilliseconds(now - run.acceptedAt)) } });
    out.emplace_back(ReplyWhole { run.id, std::move(response), ForwardEnd::Answered, {} });
    close(run, now, out);
}

/// Takes a stream away from a server that has gone silent and goes on at another.
void RoutingForwarder::moveStream(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    while (!run.calls.empty())
        closeCall(run, run.calls.front().id, routing::CallSign::Broken, true, now, out);
    callBroken(run, ForwardCallEnd::TimedOut, now, out);
}

} // namespace foxtailwheel::serving
