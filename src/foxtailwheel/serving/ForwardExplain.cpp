#include "RoutingForwarder.h"
#include "foxtailwheel/scheduling/OverloadPolicy.h"

#include <algorithm>
#include <tuple>

namespace foxtailwheel::serving {

std::string_view toString(CandidateState state)
{
    switch (state) {
    case CandidateState::Usable:
        return "usable";
    case CandidateState::OutsideZone:
        return "outside_zone";
    case CandidateState::OutsideRegion:
        return "outside_region";
    case CandidateState::Cold:
        return "cold";
    case CandidateState::Paused:
        return "paused";
    case CandidateState::Suspected:
        return "suspected";
    case CandidateState::Leaving:
        return "leaving";
    case CandidateState::Drained:
        return "drained";
    case CandidateState::NotInSubset:
        return "not_in_subset";
    }
    return "unknown";
}

CandidateState RoutingForwarder::candidateState(
    const ForwardRun& run, const ServiceState& state, const routing::ServerStatus& server, TimePoint now) const
{
    const auto& id = server.server.id;
    if (isDrained(server.server.zone))
        return CandidateState::Drained;
    if (server.leaving)
        return CandidateState::Leaving;
    if (!server.inSubset)
        return CandidateState::NotInSubset;
    if (run.allowedZones && !run.allowedZones->contains(server.server.zone))
        return CandidateState::OutsideRegion;
    if (state.pool->pausedUntil(id, now))
        return CandidateState::Paused;
    if (server.suspected)
        return CandidateState::Suspected;
    bool isHeld = false;
    state.pool->updateColdCalls([&](const auto& limiter) { isHeld = !limiter.admits(id, now); });
    return isHeld ? CandidateState::Cold : CandidateState::Usable;
}

/// Adds the servers of the service. The state of the forwarder is not changed.
void RoutingForwarder::explainCandidates(
    const ForwardRun& run, const ServiceState& state, TimePoint now, PlacementExplanation& out) const
{
    const auto demand = engineDemandOf(run.request);
    const auto status = state.pool->status();
    for (const auto& it : status) {
        CandidateExplanation candidate { it.server.id, it.server.zone, candidateState(run, state, it, now), 0,
            out.scheduled ? fromSeconds(state.evenLoad.expectedSeconds(it.server.id, demand, now)) : it.callTime,
            it.ownCalls, it.load, std::nullopt };
        if (it.reportedAt != TimePoint {})
            candidate.reportAge = now - it.reportedAt;
        out.candidates.push_back(std::move(candidate));
    }
    const auto isUsable = [](const CandidateExplanation& it) { return it.state == CandidateState::Usable; };
    const auto isInZone = [&](const CandidateExplanation& it) { return isUsable(it) && it.zone == *run.homeZone; };
    if (run.homeZone && std::any_of(out.candidates.begin(), out.candidates.end(), isInZone)) {
        for (auto& it : out.candidates) {
            if (isUsable(it) && it.zone != *run.homeZone)
                it.state = CandidateState::OutsideZone;
        }
    }
    const auto end = std::partition(out.candidates.begin(), out.candidates.end(), isUsable);
    std::vector<routing::Candidate> usable;
    for (auto it = out.candidates.begin(); out.scheduled && it != end; ++it)
        usable.push_back({ .id = &it->server });
    const auto weights = state.evenLoad.weights(usable, demand, affinityOf(run), now);
    double sum = 0;
    for (const auto it : weights)
        sum += it;
    for (std::size_t i = 0; i < weights.size(); ++i)
        out.candidates[i].probability = weights[i] / sum;
    std::sort(out.candidates.begin(), out.candidates.end(), [](const auto& a, const auto& b) {
        return std::tie(a.state, b.probability, a.expectedTime, a.server)
            < std::tie(b.state, a.probability, b.expectedTime, b.server);
    });
}

PlacementExplanation RoutingForwarder::explainPlacement(const ForwardRequest& request, TimePoint now)
{
    PlacementExplanation out;
    const auto* route = m_table ? m_table->findRoute(request.host, request.message.path()) : nullptr;
    if (route == nullptr)
        return out;
    out.route = route->name;
    out.usable = route->usable;
    if (!route->usable)
        return out;
    ForwardRun run;
    run.request = request;
    run.table = m_table;
    run.route = route;
    run.priority = route->priority;
    run.acceptedAt = now;
    run.firstAttemptAt = now;
    run.deadline = now + std::min(route->timeout, request.remainingTime.value_or(route->timeout));
    run.service = std::max_element(route->targets.begin(), route->targets.end(), [](const auto& a, const auto& b) {
        return a.weight < b.weight;
    })->service;
    run.stages.resize(route->stages.size());
    for (StageIndex i = 0; i < run.stages.size(); ++i)
        run.stages[i].missing = i < request.pieceCounts.size() ? request.pieceCounts[i] : 0;
    restrictToRegions(run, route->allowedRegions);
    chooseZone(run, now);
    out.service = run.service;
    out.scheduled = isScheduled(run.service);
    out.zone = run.homeZone;
    out.stagesIfTimely = expectedTime(run, false, now);
    out.stagesIfLate = expectedTime(run, true, now);
    out.timeToFirstByte = usualTimeToFirstByte(run);
    out.latencyTarget = route->latencyTarget;
    const auto refusal = out.scheduled
        ? scheduling::decideAdmission({ out.stagesIfTimely, out.stagesIfLate, out.timeToFirstByte },
            { route->latencyTarget, run.remainingTime(now), false, false })
        : std::nullopt;
    const auto retryAfter
        = out.scheduled ? (refusal ? std::optional(refusal->earliest) : std::nullopt) : retryAfterForecast(run, now);
    out.admitted = !retryAfter;
    out.retryAfter = retryAfter.value_or(Duration {});
    if (const auto* state = m_directory.find(run.service))
        explainCandidates(run, *state, now, out);
    return out;
}

} // namespace foxtailwheel::serving
