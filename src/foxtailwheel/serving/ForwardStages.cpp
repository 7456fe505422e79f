#include "RoutingForwarder.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Maximum times that the pieces of a stage are requested again after failures, on average.
    constexpr std::size_t maxPieceRetries = 3;
    /// Maximum times that all stages of a request are run again because a result no longer exists.
    constexpr std::uint32_t maxStageRestarts = 1;
    /// Target of the pieces of a request whose response has begun. Callers disconnect after two seconds without an
    /// event.
    constexpr Duration begunStageTime = 2s;
    /// Average wait of a piece at a busy stage, as a fraction of a full call: calls in progress end at arbitrary times.
    constexpr double meanWaitShare = 0.5;

} // namespace

Piece RoutingForwarder::makePiece(const ForwardRun& run, StageIndex stage, std::uint32_t index) const
{
    const auto& dependsOn = run.route->stages[stage].dependsOn;
    Piece piece { run.request.attemptId, stage, index, {}, {}, !dependsOn.empty() };
    for (const auto needed : dependsOn) {
        for (const auto& it : run.stages[needed].results)
            piece.inputs.push_back(it->value);
    }
    // An owner of an earlier build sends the key with every piece that has no inputs.
    if (piece.inputs.empty())
        piece.key = run.request.pieceKey;
    return piece;
}

void RoutingForwarder::startStages(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    const auto id = run.id;
    bool progress = true;
    while (progress) {
        progress = false;
        for (StageIndex i = 0; i < run.stages.size(); ++i) {
            auto& stage = run.stages[i];
            const auto& needs = run.route->stages[i].dependsOn;
            const bool ready
                = std::all_of(needs.begin(), needs.end(), [&run](StageIndex it) { return run.stages[it].done(); });
            if (stage.started || !ready)
                continue;
            stage.started = true;
            progress = true;
            if (stage.missing > 0)
                requestPieces(run, i, now, out);
            if (findRun(id) == nullptr)
                return;
        }
    }
    releaseConsumedResults(run, now, out);
    if (run.allStagesDone() && run.calls.empty())
        sendRequest(run, now, out);
}

/// Returns when the results of a stage are needed: the request's latency target minus the usual time of later steps.
TimePoint RoutingForwarder::stageTargetTime(const ForwardRun& run, StageIndex stage) const
{
    Duration after = usualTimeToFirstByte(run);
    std::vector<bool> follows(run.stages.size(), false);
    for (const auto i : run.route->stageOrder) {
        const auto& needs = run.route->stages[i].dependsOn;
        follows[i] = std::any_of(needs.begin(), needs.end(), [&](StageIndex it) { return it == stage || follows[it]; });
        const auto* service = run.table->findService(run.route->stages[i].service);
        if (follows[i] && service != nullptr && service->batch)
            after
                += fromSeconds(toSeconds(callTimeOf(*service->batch, service->batch->maxPieces)) * (1 + meanWaitShare));
    }
    return run.firstAttemptAt + run.route->latencyTarget - after;
}

/// Returns the number of remaining stages with missing pieces, counting `stage`. The time until the target is divided
/// equally among them.
long RoutingForwarder::countRemainingStages(const ForwardRun& run, StageIndex stage)
{
    const auto& order = run.route->stageOrder;
    const auto at = std::find(order.begin(), order.end(), stage);
    return std::count_if(at, order.end(), [&](StageIndex it) { return it == stage || run.stages[it].missing > 0; });
}

/// Returns the zone for the pieces of a stage that minimizes transfers between zones. Each piece reads all results of
/// the stages that it needs, and results of final stages are read where the request runs. Other stages have no
/// preference.
std::optional<AvailabilityZoneId> RoutingForwarder::preferredZoneOf(const ForwardRun& run, StageIndex stage)
{
    const auto& declared = run.route->stages[stage];
    std::map<AvailabilityZoneId, std::uint64_t> inputs;
    for (const auto needed : declared.dependsOn) {
        for (const auto& it : run.stages[needed].results)
            inputs[it->producer.zone] += run.route->stages[needed].resultBytes;
    }
    const auto largest = std::max_element(
        inputs.begin(), inputs.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (largest != inputs.end() && largest->second >= declared.resultBytes)
        return largest->first;
    return run.consumersOf(stage).empty() ? run.homeZone : std::nullopt;
}

/// Returns a group, without an ID, of all pieces of a stage that have no result yet.
PieceGroup RoutingForwarder::makeGroup(const ForwardRun& run, StageIndex stage, TimePoint now) const
{
    const auto& progress = run.stages[stage];
    // Pieces that miss their target can be dropped, and the response would break off.
    const auto targetTime = run.headSent ? now + begunStageTime : stageTargetTime(run, stage);
    const auto priority = run.headSent ? 0 : run.priority;
    PieceGroup group { {}, {}, priority, targetTime, run.deadline, preferredZoneOf(run, stage),
        now + (targetTime - now) / countRemainingStages(run, stage), run.route->stages[stage].resultBytes, {} };
    if (run.allowedZones)
        group.allowedZones.assign(run.allowedZones->begin(), run.allowedZones->end());
    for (std::uint32_t i = 0; i < progress.results.size(); ++i) {
        if (!progress.results[i])
            group.pieces.push_back(makePiece(run, stage, i));
    }
    return group;
}

void RoutingForwarder::requestPieces(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out)
{
    const auto& service = run.route->stages[stage].service;
    if (findQueue(service) == nullptr) {
        fail(run, ForwardOutcome::StageFailed, now, out);
        return;
    }
    auto group = makeGroup(run, stage, now);
    logDecision(run, "pieces_asked",
        { { "stage", std::to_string(stage) }, { "service", service.value() },
            { "owner", m_broker.ownerOf(service, now).value() }, { "pieces", std::to_string(group.pieces.size()) },
            { "goal_ms", formatInteger(toMilliseconds(group.targetTime - now)) },
            { "expected_ms",
                formatInteger(
                    toMilliseconds(m_broker.expectedWait(service, run.priority, false, group.pieces.size(), now))) } });
    submitGroup(run, stage, std::move(group), now, out);
}

/// Requests pieces under a new group, so that they are independent of other pieces of the stage.
void RoutingForwarder::submitGroup(
    ForwardRun& run, StageIndex stage, PieceGroup group, TimePoint now, ForwardActions& out)
{
    if (refuseIfWithoutServer(run, { run.route->stages[stage].service }, now, out))
        return;
    group.id = PieceGroupId(m_nextGroupId++);
    run.stages[stage].groups.push_back(group.id);
    m_groups[group.id] = { run.id, stage };
    BrokerActions actions;
    m_broker.submit(run.route->stages[stage].service, std::move(group), now, actions);
    applyBrokerActions(std::move(actions), now, out);
}

/// Converts the broker's actions to the forwarder's, handles completed pieces and schedules the next dispatch of
/// queues.
void RoutingForwarder::applyBrokerActions(BrokerActions actions, TimePoint now, ForwardActions& out)
{
    for (auto& it : actions) {
        if (auto* send = std::get_if<SendBatch>(&it)) {
            m_batchCalls[send->call] = send->service;
            out.emplace_back(std::move(*send));
        } else if (auto* message = std::get_if<SendToInstance>(&it)) {
            out.emplace_back(std::move(*message));
        } else if (auto* release = std::get_if<ReleaseResults>(&it)) {
            out.emplace_back(std::move(*release));
        } else {
            onPieceDone(std::get<PieceDone>(it), now, out);
        }
    }
    for (const auto& it : m_directory.services()) {
        const auto at = it.second.batchQueue ? it.second.batchQueue->nextDispatch() : std::nullopt;
        const auto scheduled = m_dispatchTimers.find(it.first);
        if (!at || (scheduled != m_dispatchTimers.end() && scheduled->second <= *at))
            continue;
        m_dispatchTimers[it.first] = *at;
        setTimer(std::max(*at, now), { TimerKind::Dispatch, {}, {}, it.first });
    }
}

void RoutingForwarder::onPieceDone(const PieceDone& piece, TimePoint now, ForwardActions& out)
{
    const auto* handle = std::get_if<ResultHandle>(&piece.result);
    const auto stageRef = m_groups.find(piece.group);
    auto* run = stageRef == m_groups.end() ? nullptr : findRun(stageRef->second.run);
    if (run == nullptr) {
        if (handle != nullptr)
            release({ handle->service, handle->producer, { handle->value } }, now, out);
        return;
    }
    const auto stage = stageRef->second.stage;
    auto& progress = run->stages[stage];
    if (piece.index >= progress.results.size() || progress.results[piece.index]) {
        // The piece was requested twice, for example from two owners.
        if (handle != nullptr)
            release({ handle->service, handle->producer, { handle->value } }, now, out);
        return;
    }
    if (handle == nullptr) {
        onPieceFailed(*run, stage, piece, std::get<PieceFailure>(piece.result), now, out);
        return;
    }
    progress.results[piece.index] = *handle;
    if (--progress.missing == 0) {
        cancelGroups(progress, out);
        logDecision(*run, "stage_done",
            { { "stage", std::to_string(stage) }, { "pieces", std::to_string(progress.results.size()) },
                { "after_ms", formatInteger(toMilliseconds(now - run->acceptedAt)) } });
        startStages(*run, now, out);
    }
}

void RoutingForwarder::onPieceFailed(
    ForwardRun& run, StageIndex stage, const PieceDone& piece, PieceFailure failure, TimePoint now, ForwardActions& out)
{
    auto& progress = run.stages[stage];
    logDecision(run, "piece_failed",
        { { "stage", std::to_string(stage) }, { "piece", std::to_string(piece.index) },
            { "reason", std::string(toString(failure)) }, { "tries", std::to_string(progress.retries) } });
    if (failure == PieceFailure::DeadlineExceeded) {
        fail(run, ForwardOutcome::TimedOutWaiting, now, out);
        return;
    }
    if (failure == PieceFailure::ZonesDrained) {
        // A stream that has begun waits, since a zone may be restored. The owner may also know less than this instance.
        const auto service = run.route->stages[stage].service;
        if (refuseIfWithoutServer(run, { service }, now, out))
            return;
        cancelGroups(progress, out);
        setTimer(now + failoverRetryInterval, { TimerKind::RequestPieces, run.id, {}, service });
        return;
    }
    if (failure == PieceFailure::InputMissing) {
        restartStages(run, now, out);
        return;
    }
    auto* state = m_directory.find(run.route->stages[stage].service);
    if (++progress.retries > maxPieceRetries * progress.results.size() || !state->retryBudget.tryAcquire(1, now)) {
        fail(run, ForwardOutcome::StageFailed, now, out);
        return;
    }
    auto group = makeGroup(run, stage, now);
    std::erase_if(group.pieces, [&piece](const Piece& it) { return it.index != piece.index; });
    submitGroup(run, stage, std::move(group), now, out);
}

/// Requests the pieces of the stages of a service that were dropped while its zones were drained.
void RoutingForwarder::requestPiecesAgain(ForwardRun& run, const ServiceId& service, TimePoint now, ForwardActions& out)
{
    const auto id = run.id;
    for (StageIndex i = 0; findRun(id) != nullptr && i < run.stages.size(); ++i) {
        const auto& stage = run.stages[i];
        if (run.route->stages[i].service == service && stage.started && stage.missing > 0 && stage.groups.empty())
            requestPieces(run, i, now, out);
    }
}

/// Runs the stages again because a result no longer exists.
void RoutingForwarder::restartStages(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    if (++run.stageRestarts > maxStageRestarts) {
        fail(run, ForwardOutcome::StageFailed, now, out);
        return;
    }
    runStagesAgain(run, now, out);
}

void RoutingForwarder::runStagesAgain(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    logDecision(run, "stages_restarted", { { "restarts", std::to_string(run.stageRestarts) } });
    cancelStages(run, now, out);
    for (auto& it : run.stages) {
        it.started = false;
        it.released = false;
        it.missing = it.results.size();
        std::fill(it.results.begin(), it.results.end(), std::nullopt);
    }
    startStages(run, now, out);
}

void RoutingForwarder::release(ReleaseResults results, TimePoint now, ForwardActions& out)
{
    BrokerActions actions;
    m_broker.release(std::move(results), now, actions);
    applyBrokerActions(std::move(actions), now, out);
}

void RoutingForwarder::releaseStage(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out)
{
    auto& progress = run.stages[stage];
    if (std::exchange(progress.released, true))
        return;
    std::map<std::string, ReleaseResults> byProducer;
    for (const auto& it : progress.results) {
        if (!it)
            continue;
        auto& results = byProducer[it->producer.id.value()];
        results.service = it->service;
        results.producer = it->producer;
        results.handles.push_back(it->value);
    }
    for (auto& it : byProducer)
        release(std::move(it.second), now, out);
}

/// Releases the results of stages whose consumers are all done.
void RoutingForwarder::releaseConsumedResults(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    for (StageIndex i = 0; i < run.stages.size(); ++i) {
        const auto consumers = run.consumersOf(i);
        const bool consumed = !consumers.empty()
            && std::all_of(consumers.begin(), consumers.end(), [&run](StageIndex it) { return run.stages[it].done(); });
        if (consumed && run.stages[i].done())
            releaseStage(run, i, now, out);
    }
}

/// Cancels the run's pending pieces and releases its results.
void RoutingForwarder::cancelStages(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    for (StageIndex i = 0; i < run.stages.size(); ++i) {
        auto& stage = run.stages[i];
        cancelGroups(stage, out);
        releaseStage(run, i, now, out);
    }
}

/// Forgets the groups of a stage and cancels what is still requested under them.
void RoutingForwarder::cancelGroups(StageProgress& stage, ForwardActions& out)
{
    BrokerActions actions;
    for (const auto group : std::exchange(stage.groups, {})) {
        m_groups.erase(group);
        m_broker.cancel(group, actions);
    }
    for (auto& it : actions)
        out.emplace_back(std::get<SendToInstance>(std::move(it)));
}

} // namespace foxtailwheel::serving
