#include "RoutingForwarder.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/RendezvousScore.h"
#include "foxtailwheel/scheduling/OverloadPolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Retry-After hint of an instance that has no configuration or no current credentials.
    constexpr Duration notReadyRetryAfter = 300ms;
    /// Retry-After hint where the configuration has to be mended first.
    constexpr Duration invalidConfigurationRetryAfter = 1s;
    /// Retry-After hint while another request is tried whose prompt has the same part.
    constexpr Duration crashTrialRetryAfter = 1s;
    /// Fraction of its remaining time within which a late request must be expected to complete to be accepted. Requests
    /// that arrive afterwards may still be served before it.
    constexpr double safeCompletionShare = 0.7;
    /// Minimum Retry-After hint under overload: about the duration of one batch call.
    constexpr Duration minRetryAfter = 300ms;
    /// Retry-After hint if no server could run the request.
    constexpr Duration noServerRetryAfter = 500ms;
    /// Callers' timeouts on first attempts differ by less than this factor. A caller with a smaller fraction of the
    /// longest timeout has tried before.
    constexpr double firstAttemptShare = 0.8;
    /// Retention of the longest caller timeout of a route.
    constexpr Duration callerTimeoutRetention = 10s;

    Duration retryAfterOf(ForwardOutcome refusal)
    {
        switch (refusal) {
        case ForwardOutcome::CredentialsOutdated:
            return notReadyRetryAfter;
        case ForwardOutcome::InvalidConfiguration:
            return invalidConfigurationRetryAfter;
        default:
            return {};
        }
    }

    /// Pieces of another stage would be left out without a word: the caller knows another version of the route.
    bool hasUnknownStage(const ForwardRequest& request, const config::Route& route)
    {
        const auto& counts = request.pieceCounts;
        return counts.size() > route.stages.size()
            && std::any_of(counts.begin() + static_cast<std::ptrdiff_t>(route.stages.size()), counts.end(),
                [](std::uint32_t n) { return n > 0; });
    }

    /// Returns the longest path through the stages of a request.
    /// @param endOf Returns the time at which a stage with missing pieces ends, given its index and start.
    template <class EndOf> Duration longestPath(const ForwardRun& run, EndOf endOf)
    {
        std::vector<Duration> done(run.stages.size());
        Duration longest {};
        for (const auto i : run.route->stageOrder) {
            for (const auto needed : run.route->stages[i].dependsOn)
                done[i] = std::max(done[i], done[needed]);
            if (run.stages[i].missing > 0)
                done[i] = endOf(i, done[i]);
            longest = std::max(longest, done[i]);
        }
        return longest;
    }

    /// Weighted rendezvous hashing: each zone is picked for a share of all affinity keys in proportion to its weight.
    std::optional<AvailabilityZoneId> pickZone(
        const std::map<AvailabilityZoneId, double>& weights, std::uint64_t affinity)
    {
        std::optional<AvailabilityZoneId> best;
        double highest = 0;
        for (const auto& [zone, weight] : weights) {
            const double score = rendezvousScore(hashOf(zone.value(), affinity), weight);
            if (score > highest) {
                best = zone;
                highest = score;
            }
        }
        return best;
    }

} // namespace

ForwardRun* RoutingForwarder::findRun(ForwardId id)
{
    const auto it = m_runs.find(id);
    return it == m_runs.end() ? nullptr : it->second.get();
}

ForwardRun* RoutingForwarder::findRunOfCall(CallId call)
{
    const auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : findRun(it->second);
}

void RoutingForwarder::logDecision(
    const ForwardRun& run, std::string_view event, std::vector<std::pair<std::string_view, std::string>> fields) const
{
    if (m_options.decisionLog)
        m_options.decisionLog({ event, run.request.attemptId, std::move(fields) });
}

void RoutingForwarder::logServerDecision(
    std::string_view event, std::vector<std::pair<std::string_view, std::string>> fields) const
{
    if (m_options.decisionLog)
        m_options.decisionLog({ event, {}, std::move(fields) });
}

/// Looks up the account of the credential. Without a recent confirmation, credentials are neither accepted nor
/// rejected: the result is `CredentialsOutdated`.
std::optional<ForwardOutcome> RoutingForwarder::authorize(ForwardRun& run, TimePoint now) const
{
    if (run.route->isPublic || !m_table->needsCredentials)
        return std::nullopt;
    if (now - m_credentialsConfirmedAt > m_options.credentialMaxAge)
        return ForwardOutcome::CredentialsOutdated;
    const auto it = m_table->credentials.find(run.request.credential);
    if (run.request.credential.empty() || it == m_table->credentials.end())
        return ForwardOutcome::BadCredential;
    if (!it->second.usable)
        return ForwardOutcome::InvalidConfiguration;
    run.account = it->second.account;
    restrictToRegions(run, it->second.allowedRegions);
    run.priority = it->second.priority.value_or(run.route->priority);
    return std::nullopt;
}

const config::RouteTarget& RoutingForwarder::pickTarget(const ForwardRun& run)
{
    const auto& targets = run.route->targets;
    double totalWeight = 0;
    for (const auto& it : targets)
        totalWeight += it.weight;
    double remainingWeight = m_random.uniform() * totalWeight;
    for (const auto& it : targets) {
        remainingWeight -= it.weight;
        if (remainingWeight < 0)
            return it;
    }
    return targets.back();
}

void RoutingForwarder::submit(ForwardId id, ForwardRequest request, TimePoint now, ForwardActions& out)
{
    auto entry = std::make_unique<ForwardRun>();
    auto& run = *entry;
    run.id = id;
    run.request = std::move(request);
    run.acceptedAt = now;
    run.table = m_table;
    m_runs.emplace(id, std::move(entry));
    if (!m_accepting) {
        refuse(run, ForwardOutcome::ShuttingDown, {}, now, out);
        return;
    }
    if (!m_table) {
        refuse(run, ForwardOutcome::NoConfiguration, notReadyRetryAfter, now, out);
        return;
    }
    run.route = m_table->findRoute(run.request.host, run.request.message.path());
    if (run.route == nullptr) {
        refuse(run, ForwardOutcome::NoRoute, {}, now, out);
        return;
    }
    if (!run.route->usable) {
        refuse(run, ForwardOutcome::InvalidConfiguration, invalidConfigurationRetryAfter, now, out);
        return;
    }
    run.priority = run.route->priority;
    restrictToRegions(run, run.route->allowedRegions);
    if (const auto outcome = authorize(run, now)) {
        refuse(run, *outcome, retryAfterOf(*outcome), now, out);
        return;
    }
    start(run, now, out);
}

/// Refuses a request whose prompt crashes servers; it would fail and take other requests with it.
bool RoutingForwarder::refuseIfCrashing(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    const auto blocked = m_crashingParts.blockedFor(run.request.prompt, now);
    if (!blocked) {
        if (run.triesCrashingPart)
            return false;
        const auto trial = m_crashingParts.decideTrial(run.request.prompt, now);
        run.triesCrashingPart = trial == TrialDecision::Admitted;
        if (run.triesCrashingPart)
            logDecision(run, "crash_trial", { { "parts", formatSharedParts(run.request.prompt) } });
        if (trial != TrialDecision::Refused)
            return false;
    }
    if (run.mayHaveRun)
        fail(run, ForwardOutcome::BackendFailed, now, out);
    else
        refuse(run, ForwardOutcome::CrashesServers, blocked.value_or(crashTrialRetryAfter), now, out);
    return true;
}

/// Returns whether a request that is sent to a server after its missing stages is expected to be answered before the
/// process ends.
bool RoutingForwarder::isAnsweredBeforeEnd(const ForwardRun& run, TimePoint now) const
{
    return m_endsAt == TimePoint::max() || now + expectedTime(run, false, now) + usualResponseTime(run) <= m_endsAt;
}

/// Ends a request that this process would not live to answer: its caller can still send it to another instance.
bool RoutingForwarder::refuseIfEnding(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    if (isAnsweredBeforeEnd(run, now))
        return false;
    if (run.mayHaveRun)
        fail(run, ForwardOutcome::BackendFailed, now, out);
    else
        refuse(run, ForwardOutcome::ShuttingDown, {}, now, out);
    return true;
}

void RoutingForwarder::start(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    if (refuseIfCrashing(run, now, out))
        return;
    const auto& route = *run.route;
    run.deadline = now + std::min(route.timeout, run.request.remainingTime.value_or(route.timeout));
    const auto& target = pickTarget(run);
    run.service = target.service;
    if (!target.usable) {
        refuse(run, ForwardOutcome::InvalidConfiguration, invalidConfigurationRetryAfter, now, out);
        return;
    }
    if (hasUnknownStage(run.request, route)) {
        refuse(run, ForwardOutcome::UnknownStage, notReadyRetryAfter, now, out);
        return;
    }
    if (refuseIfAllPaused(run, now, out))
        return;
    run.firstAttemptAt = now - timeSpentOnEarlierAttempts(run, now);
    run.lastEventId = run.request.lastEventId;
    run.eventSplitter = EventSplitter(m_options.maxEventBytes);
    run.stages.resize(route.stages.size());
    for (StageIndex i = 0; i < run.stages.size(); ++i) {
        const auto n = i < run.request.pieceCounts.size() ? run.request.pieceCounts[i] : 0;
        run.stages[i].results.resize(n);
        run.stages[i].missing = n;
    }
    setTimer(run.deadline, { TimerKind::Deadline, run.id, {}, {} });
    if (refuseIfEnding(run, now, out) || refuseIfWithoutServer(run, now, out))
        return;
    chooseZone(run, now);
    if (const auto retryAfter = retryAfterOverload(run, now); m_options.admissionControl && retryAfter) {
        logDecision(run, "overload_foreseen",
            { { "goal_left_ms", formatInteger(toMilliseconds(run.firstAttemptAt + route.latencyTarget - now)) },
                { "timely_ms", formatInteger(toMilliseconds(expectedTime(run, false, now))) },
                { "late_ms",
                    formatInteger(toMilliseconds(
                        isScheduled(run.service) ? expectedLateTime(run, now) : expectedTime(run, true, now))) },
                { "time_left_ms", formatInteger(toMilliseconds(run.remainingTime(now))) } });
        refuse(run, ForwardOutcome::Overloaded, *retryAfter, now, out);
        return;
    }
    logDecision(run, "request_accepted",
        { { "route", route.name }, { "version", std::to_string(run.table->version) },
            { "service", run.service.value() }, { "account", run.account.value() },
            { "time_left_ms", formatInteger(toMilliseconds(run.remainingTime(now))) },
            { "credentials_age_ms", formatInteger(toMilliseconds(now - m_credentialsConfirmedAt)) } });
    startStages(run, now, out);
}

/// Estimates the time that the caller has spent on earlier attempts. Callers of a route start with the same timeout, so
/// a shorter one indicates a retry.
Duration RoutingForwarder::timeSpentOnEarlierAttempts(const ForwardRun& run, TimePoint now)
{
    if (!run.request.remainingTime)
        return {};
    auto& longest = m_callerTimeouts[run.route->name];
    const auto remaining = *run.request.remainingTime;
    if (remaining >= longest.timeout || now > longest.expiresAt)
        longest = { remaining, now + callerTimeoutRetention };
    return toSeconds(remaining) > toSeconds(longest.timeout) * firstAttemptShare ? Duration {}
                                                                                 : longest.timeout - remaining;
}

/// Picks the zone in which the request and its stages should run, since transfers of results between zones are costly.
/// Zones are weighted by the number of servers of the route's scarcest stage there.
void RoutingForwarder::chooseZone(ForwardRun& run, TimePoint now)
{
    const auto affinity = affinityOf(run);
    if (!affinity || run.stages.empty())
        return;
    std::vector<ServiceId> stages;
    for (const auto& it : run.route->stages)
        stages.push_back(it.service);
    auto shares = m_directory.zoneShares(stages, run.service);
    if (run.allowedZones)
        std::erase_if(shares, [&run](const auto& it) { return !run.allowedZones->contains(it.first); });
    if (std::any_of(shares.begin(), shares.end(),
            [&](const auto& it) { return m_directory.ramp().admits(it.first, *affinity, now); }))
        std::erase_if(shares, [&](const auto& it) { return !m_directory.ramp().admits(it.first, *affinity, now); });
    run.homeZone = pickZone(shares, *affinity);
}

/// Returns the expected time until all stages are done: the longest path through the stages at the current queue
/// lengths.
/// @param late The request cannot meet its latency target, so its pieces are queued last.
Duration RoutingForwarder::expectedTime(const ForwardRun& run, bool late, TimePoint now) const
{
    return longestPath(run, [&](StageIndex i, Duration begin) {
        const auto& service = run.route->stages[i].service;
        return begin + m_broker.expectedWait(service, run.priority, late, run.stages[i].missing, now);
    });
}

/// Returns the expected time until all stages of a late request are done. The queues of later stages become shorter
/// while it waits for earlier ones, so the longest queue counts, not the sum of all.
Duration RoutingForwarder::expectedLateTime(const ForwardRun& run, TimePoint now) const
{
    return longestPath(run, [&](StageIndex i, Duration begin) {
        const auto& id = run.route->stages[i].service;
        const auto* service = run.table->findService(id);
        if (service == nullptr || !service->batch)
            return begin;
        const auto n = run.stages[i].missing;
        const auto call = callTimeOf(*service->batch, n);
        return std::max(begin, m_broker.expectedWait(id, run.priority, true, n, now) - call) + call;
    });
}

/// Predicts whether a request would time out: it is expected to miss its latency target, and pieces of late requests
/// are not expected to complete before its deadline. Such a request is rejected before any work is done for it.
/// @return The Retry-After hint, or nothing if the request should be accepted.
std::optional<Duration> RoutingForwarder::retryAfterOverload(const ForwardRun& run, TimePoint now)
{
    return isScheduled(run.service) ? decideUnderOverload(run, now) : retryAfterForecast(run, now);
}

/// The decision of `retryAfterOverload` by the forecast alone, where scheduling is off.
std::optional<Duration> RoutingForwarder::retryAfterForecast(const ForwardRun& run, TimePoint now) const
{
    const auto remainingToTarget = run.firstAttemptAt + run.route->latencyTarget - now;
    const auto stages = expectedTime(run, false, now);
    if (stages == Duration {} || stages + usualTimeToFirstByte(run) <= remainingToTarget)
        return std::nullopt;
    const auto remaining = run.remainingTime(now);
    const auto expected = expectedTime(run, true, now);
    if (expected <= fromSeconds(toSeconds(remaining) * safeCompletionShare))
        return std::nullopt;
    return std::clamp<Duration>(expected - remaining, minRetryAfter, std::max<Duration>(remaining / 3, minRetryAfter));
}

/// Like `retryAfterOverload`, with fair shares of the accounts, a smaller margin for retries, and retries that are
/// spread over the time that callers wait.
std::optional<Duration> RoutingForwarder::decideUnderOverload(const ForwardRun& run, TimePoint now)
{
    scheduling::RequestForecast forecast { expectedTime(run, false, now), {}, usualTimeToFirstByte(run) };
    const scheduling::RequestSituation situation { run.firstAttemptAt + run.route->latencyTarget - now,
        run.remainingTime(now), run.firstAttemptAt < now, m_accountShares.isOverShare(run.account, now) };
    // On an owner, each forecast walks through the queues of its stages.
    if (!scheduling::isTimely(forecast, situation))
        forecast.lateWait = expectedLateTime(run, now);
    const auto cost = serverSeconds(run);
    const auto window = scheduling::decideAdmission(forecast, situation);
    if (window)
        return m_returns.assign(cost, window->earliest, window->latest, now);
    m_accountShares.add(run.account, cost, now);
    return std::nullopt;
}

/// Returns the time that a request is expected to take of its servers, in seconds, with its pieces in full calls.
double RoutingForwarder::serverSeconds(const ForwardRun& run) const
{
    double seconds = toSeconds(usualTimeToFirstByte(run));
    for (StageIndex i = 0; i < run.stages.size(); ++i) {
        const auto* service = run.table->findService(run.route->stages[i].service);
        if (service == nullptr || !service->batch)
            continue;
        const auto& batch = *service->batch;
        seconds += static_cast<double>(run.stages[i].missing)
            * (toSeconds(batch.callTime) / batch.maxPieces + toSeconds(batch.pieceTime));
    }
    return seconds;
}

void RoutingForwarder::onCallerDisconnected(ForwardId id, TimePoint now, ForwardActions& out)
{
    auto* run = findRun(id);
    if (run == nullptr)
        return;
    logDecision(*run, "caller_left", { { "after_ms", formatInteger(toMilliseconds(now - run->acceptedAt)) } });
    closeRun(*run, now, out);
}

void RoutingForwarder::refuse(
    ForwardRun& run, ForwardOutcome outcome, Duration retryAfter, TimePoint now, ForwardActions& out)
{
    logDecision(run, "request_refused",
        { { "reason", std::string(toString(outcome)) }, { "service", run.service.value() },
            { "after_ms", formatInteger(toMilliseconds(now - run.acceptedAt)) },
            { "version", std::to_string(m_table ? m_table->version : 0) },
            { "credentials_age_ms", formatInteger(toMilliseconds(now - m_credentialsConfirmedAt)) },
            { "retry_after_ms", formatInteger(toMilliseconds(retryAfter)) } });
    http::Response response { httpStatus(outcome), { { "Content-Type", "application/json" } }, {} };
    response.body = "{\"reason\":\"" + std::string(toString(outcome)) + "\"}";
    out.emplace_back(SendResponse { run.id, std::move(response), outcome, retryAfter });
    closeRun(run, now, out);
}

void RoutingForwarder::fail(ForwardRun& run, ForwardOutcome outcome, TimePoint now, ForwardActions& out)
{
    if (run.headSent)
        finishStream(run, ForwardOutcome::StreamBroken, now, out);
    else
        refuse(run, outcome, httpStatus(outcome) == 503 ? noServerRetryAfter : Duration {}, now, out);
}

void RoutingForwarder::endAll(TimePoint now, ForwardActions& out)
{
    m_accepting = false;
    while (!m_runs.empty()) {
        auto& run = *m_runs.begin()->second;
        fail(run, run.mayHaveRun ? ForwardOutcome::BackendFailed : ForwardOutcome::ShuttingDown, now, out);
    }
}

void RoutingForwarder::finishStream(ForwardRun& run, ForwardOutcome outcome, TimePoint now, ForwardActions& out)
{
    logDecision(run, "stream_ended",
        { { "end", std::string(toString(outcome)) }, { "last_event", std::to_string(run.lastEventId.value_or(0)) },
            { "after_ms", formatInteger(toMilliseconds(now - run.acceptedAt)) } });
    out.emplace_back(EndResponse { run.id, outcome });
    closeRun(run, now, out);
}

/// Removes the run: cancels its calls and pieces and releases its results.
void RoutingForwarder::closeRun(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    const auto id = run.id;
    while (!run.calls.empty()) {
        const auto& call = run.calls.front();
        closeCall(run, call.id,
            isSilent(run, call, now) ? routing::CallOutcome::Failed : routing::CallOutcome::Rejected, true, now, out);
    }
    if (run.route != nullptr)
        cancelStages(run, now, out);
    if (const auto queue = m_waitingRequests.find(run.service); queue != m_waitingRequests.end())
        queue->second.remove(id.value());
    m_partialEventBytes -= run.eventSplitter.partialBytes();
    m_runs.erase(id);
}

} // namespace foxtailwheel::serving
