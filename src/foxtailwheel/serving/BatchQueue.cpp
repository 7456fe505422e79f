#include "BatchQueueImpl.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Timeout of a call as a multiple of its expected duration; slow servers still answer within it.
    constexpr double callTimeoutFactor = 6;
    /// Minimum timeout of a call, whatever its size.
    constexpr Duration minCallTimeout = 1500ms;
    /// Pieces of a call that takes longer than this multiple of its expected duration are sent to a second server.
    constexpr double hedgeFactor = 2.2;
    /// Number of times that a piece is queued again after a server did not start its call or had no capacity for its
    /// result.
    constexpr std::uint32_t maxRequeues = 6;
    /// Interval at which queued pieces are checked against their deadlines, and calls against their expected duration.
    constexpr Duration checkPeriod = 100ms;

} // namespace

/// Returns the maximum number of concurrent calls of this queue.
std::size_t BatchQueue::Impl::maxCalls(TimePoint now) const
{
    return static_cast<std::size_t>(std::max(1.0, std::ceil(slotShare * pool.usableSlots(now))));
}

void BatchQueue::Impl::send(
    const config::BackendServer& server, std::vector<WaitingPiece> pieces, TimePoint now, std::vector<BatchAction>& out)
{
    BatchCall call { server, std::move(pieces), calls.nextStartTime(server.id, now), {} };
    call.expectedDuration = forecast.callTime(call.pieces.size());
    SendBatch send { callbacks.newCallId(), service, server, {}, {}, {}, {}, waiting.size() };
    auto latest = now;
    for (const auto& it : call.pieces) {
        send.pieces.push_back(it.piece);
        send.remainingTimes.push_back(it.deadline - now);
        send.maxQueueTime = std::max(send.maxQueueTime, now - it.queuedAt);
        latest = std::max(latest, it.deadline);
        call.resultBytes += it.resultBytes;
    }
    send.deadline = std::min(latest,
        call.startsAt + std::max(minCallTimeout, fromSeconds(toSeconds(call.expectedDuration) * callTimeoutFactor)));
    capacity.reserve(server.id, call.resultBytes);
    calls.add(send.call, std::move(call));
    out.emplace_back(std::move(send));
}

/// Delivers the result of a piece once, however many calls contain it. Results of further calls are reported without a
/// group, so that they are released.
void BatchQueue::Impl::deliver(const WaitingPiece& piece, const PieceResult& result, std::vector<BatchAction>& out)
{
    const auto id = piece.id();
    if (hedged.erase(id) > 0) {
        const auto copy
            = std::find_if(waiting.begin(), waiting.end(), [&id](const WaitingPiece& it) { return it.id() == id; });
        if (copy != waiting.end()) {
            // The copy is still queued: after a failure it stays there, after a success it is not needed.
            if (std::holds_alternative<PieceFailure>(result))
                return;
            waiting.erase(copy);
        } else if (std::holds_alternative<PieceFailure>(result)) {
            return;
        } else {
            delivered.insert(id);
        }
        out.emplace_back(PieceDone { piece.group, piece.piece.index, result });
        return;
    }
    const bool duplicate = delivered.erase(id) > 0;
    out.emplace_back(PieceDone { duplicate ? PieceGroupId() : piece.group, piece.piece.index, result });
}

void BatchQueue::Impl::runPeriodicChecks(TimePoint now, std::vector<BatchAction>& out)
{
    if (now - lastCheckAt < checkPeriod)
        return;
    lastCheckAt = now;
    dropUnmeetable(now, out);
    hedgeSlowCalls(now);
}

/// Drops all queued pieces. A piece that is also in a call stays: that call provides its result.
void BatchQueue::Impl::dropAll(PieceFailure failure, std::vector<BatchAction>& out)
{
    for (auto it = waiting.begin(); it != waiting.end();) {
        if (hedged.erase(it->id()) == 0)
            out.emplace_back(PieceDone { it->group, it->piece.index, failure });
        it = waiting.erase(it);
    }
}

/// Drops the pieces that are not expected to finish before their deadline, so that their requesters are notified
/// immediately.
void BatchQueue::Impl::dropUnmeetable(TimePoint now, std::vector<BatchAction>& out)
{
    std::size_t ahead = 0;
    for (const bool late : { false, true }) {
        for (auto it = waiting.begin(); it != waiting.end();) {
            const auto piece = it++;
            if (isLate(*piece, now) != late)
                continue;
            const auto expectedAt = now + forecast.expectedWait(piece->priority, late, ++ahead, servers(now), now);
            if (expectedAt <= piece->deadline || hedged.contains(piece->id()))
                continue;
            --ahead;
            out.emplace_back(PieceDone { piece->group, piece->piece.index, PieceFailure::DeadlineExceeded });
            waiting.erase(piece);
        }
    }
}

/// Queues the pieces of calls that take far longer than expected a second time, within the retry budget. Processing a
/// piece twice is safe.
void BatchQueue::Impl::hedgeSlowCalls(TimePoint now)
{
    for (auto& [id, call] : calls.all()) {
        if (call.requeued || now - call.startsAt < fromSeconds(toSeconds(call.expectedDuration) * hedgeFactor))
            continue;
        if (!callbacks.tryAcquireRetries(call.pieces.size(), now))
            continue;
        call.requeued = true;
        for (const auto& it : call.pieces) {
            if (it.deadline > now && !delivered.contains(it.id()) && hedged.insert(it.id()).second)
                waiting.insert(it);
        }
    }
}

void BatchQueue::Impl::requeue(WaitingPiece piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out)
{
    if (piece.deadline <= now || ++piece.requeues > maxRequeues || hedged.contains(piece.id())) {
        deliver(piece, failure, out);
        return;
    }
    waiting.insert(std::move(piece));
}

/// Scales the duration of the call to that of a call with one piece, so that the pool can compare calls of different
/// sizes.
routing::CallReport BatchQueue::Impl::callReport(const BatchCall& call, BatchOutcome outcome, TimePoint now) const
{
    routing::CallReport report;
    switch (outcome) {
    case BatchOutcome::Answered:
        report.outcome = routing::CallOutcome::Success;
        break;
    case BatchOutcome::NotStarted:
        report.outcome = routing::CallOutcome::Rejected;
        break;
    case BatchOutcome::Unreachable:
        report.outcome = routing::CallOutcome::Unreachable;
        break;
    case BatchOutcome::Broken:
        report.outcome = routing::CallOutcome::Failed;
        break;
    }
    const auto onePieceTime = limits.callTime + limits.pieceTime;
    const auto declaredTime = limits.callTime + limits.pieceTime * call.pieces.size();
    report.latency = fromSeconds(
        toSeconds(now - call.startsAt) * toSeconds(onePieceTime) / std::max(1e-3, toSeconds(declaredTime)));
    return report;
}

/// Replaces the reservation of a call by its results, and then applies rejections for lack of capacity.
void BatchQueue::Impl::updateCapacity(
    const BatchCall& call, BatchOutcome outcome, const std::vector<PieceResult>& results, TimePoint now)
{
    capacity.cancelReservation(call.server.id, call.resultBytes);
    if (outcome != BatchOutcome::Answered)
        return;
    std::uint64_t rejectedBytes = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto bytes = call.pieces[i].resultBytes;
        if (const auto* handle = std::get_if<ResultHandle>(&results[i]))
            capacity.addResult(call.server.id, handle->value, bytes, now);
        else if (std::get<PieceFailure>(results[i]) == PieceFailure::NoCapacity)
            rejectedBytes = rejectedBytes == 0 ? bytes : std::min(rejectedBytes, bytes);
    }
    if (rejectedBytes > 0)
        capacity.onRejected(call.server.id, rejectedBytes, now);
}

BatchQueue::BatchQueue(
    ServiceId service, config::BatchLimits limits, routing::ServerPool& pool, BatchQueueCallbacks callbacks)
    : m_impl(std::make_unique<Impl>(std::move(service), limits, pool, std::move(callbacks)))
{
}

BatchQueue::~BatchQueue() = default;

void BatchQueue::setLimits(const config::BatchLimits& limits)
{
    m_impl->limits = limits;
    m_impl->forecast.setLimits(limits);
    m_impl->capacity.setLimits(limits.resultCapacityBytes, limits.resultLifetime);
}

void BatchQueue::setSlotShare(double share)
{
    m_impl->slotShare = share;
}

void BatchQueue::setOverloadForecast(bool isOn)
{
    m_impl->overloadForecast = isOn;
    m_impl->forecast.setExpectsBurstsToEnd(isOn);
    if (!isOn)
        m_impl->forecast.setResultsPerServer(std::nullopt);
}

void BatchQueue::setDrained(bool isDrained)
{
    m_impl->isDrained = isDrained;
}

void BatchQueue::add(PieceGroup group, TimePoint now, std::vector<BatchAction>& out)
{
    if (group.targetTime >= now + m_impl->forecast.callTime(1))
        m_impl->forecast.recordArrival(group.priority, group.pieces.size(), now);
    for (auto& it : group.pieces)
        m_impl->waiting.insert(
            { group.id, std::move(it), group.priority, group.targetTime, group.deadline, group.preferredZone,
                group.crossZoneAfter, group.resultBytes, ++m_impl->lastArrivalNumber, now, 0, group.allowedZones });
    dispatch(now, out);
}

void BatchQueue::cancel(PieceGroupId group)
{
    std::erase_if(m_impl->waiting, [group](const WaitingPiece& it) { return it.group == group; });
}

void BatchQueue::handOver(std::vector<BatchAction>& out)
{
    m_impl->dropAll(PieceFailure::OwnerChanged, out);
}

void BatchQueue::onCallEnd(CallId id, BatchOutcome outcome, const std::vector<PieceResult>& results, TimePoint now,
    std::vector<BatchAction>& out)
{
    auto endedCall = m_impl->calls.remove(id, now);
    if (!endedCall)
        return;
    auto& call = *endedCall;
    if (outcome == BatchOutcome::Answered && results.size() != call.pieces.size())
        outcome = BatchOutcome::Broken;
    m_impl->pool.onCallEnded(call.server.id, m_impl->callReport(call, outcome, now), now);
    if (outcome == BatchOutcome::Broken)
        m_impl->pool.updateColdCalls([&](auto& limiter) { limiter.suspectCold(call.server.id, now); });
    if (outcome == BatchOutcome::Answered) {
        m_impl->forecast.recordCall(call.pieces.size(), now - call.startsAt);
        if (m_impl->overloadForecast)
            m_impl->forecast.setResultsPerServer(m_impl->capacity.usage());
    } else if (outcome == BatchOutcome::NotStarted)
        m_impl->calls.pause(call.server.id, now);
    m_impl->updateCapacity(call, outcome, results, now);
    for (std::size_t i = 0; i < call.pieces.size(); ++i) {
        auto& piece = call.pieces[i];
        auto result = outcome == BatchOutcome::Answered ? results[i] : PieceResult(PieceFailure::Failed);
        if (auto* handle = std::get_if<ResultHandle>(&result))
            handle->service = m_impl->service;
        const auto* failure = std::get_if<PieceFailure>(&result);
        const bool retryable = outcome == BatchOutcome::NotStarted || outcome == BatchOutcome::Unreachable
            || (failure != nullptr && *failure == PieceFailure::NoCapacity);
        if (retryable)
            m_impl->requeue(std::move(piece), *failure, now, out);
        else
            m_impl->deliver(piece, result, out);
    }
    dispatch(now, out);
}

bool BatchQueue::onRelease(const ReleaseResults& release, TimePoint now)
{
    bool known = false;
    for (const auto& it : release.handles)
        known = m_impl->capacity.release(release.producer.id, it, now) || known;
    if (known && !m_impl->waiting.empty())
        m_impl->capacityFreeAt = m_impl->capacity.nextFreeAt(now);
    return known;
}

void BatchQueue::dispatch(TimePoint now, std::vector<BatchAction>& out)
{
    m_impl->lastDispatchAt = now;
    if (m_impl->isDrained)
        m_impl->dropAll(PieceFailure::ZonesDrained, out);
    m_impl->runPeriodicChecks(now, out);
    while (m_impl->sendNextCall(now, out)) { }
    m_impl->capacityFreeAt = m_impl->waiting.empty() ? std::nullopt : m_impl->capacity.nextFreeAt(now);
}

std::optional<TimePoint> BatchQueue::nextDispatch() const
{
    if (m_impl->waiting.empty() && m_impl->calls.empty())
        return std::nullopt;
    auto next = m_impl->lastCheckAt + checkPeriod;
    if (m_impl->waiting.empty())
        return next;
    next = std::min(next, m_impl->calls.nextAvailabilityChange(m_impl->lastDispatchAt));
    if (m_impl->capacityFreeAt)
        next = std::min(next, *m_impl->capacityFreeAt);
    return next;
}

std::size_t BatchQueue::waitingCount() const
{
    return m_impl->waiting.size();
}

std::size_t BatchQueue::callsInProgress() const
{
    return m_impl->calls.size();
}

Duration BatchQueue::expectedWait(std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const
{
    // A piece that cannot meet its target is sent after all that can, and among the others by priority.
    const auto ahead = std::count_if(m_impl->waiting.begin(), m_impl->waiting.end(), [&](const WaitingPiece& it) {
        if (!late)
            return it.priority <= priority && !m_impl->isLate(it, now);
        return !m_impl->overloadForecast || it.priority <= priority || !m_impl->isLate(it, now);
    });
    const auto servers = m_impl->servers(now);
    const bool busy = static_cast<double>(m_impl->calls.countNotEnding(now)) >= servers;
    // While all servers are busy, the expected time until the next one is free is a fraction of the call time.
    const Duration untilFree = busy ? fromSeconds(toSeconds(m_impl->forecast.callTime(m_impl->limits.maxPieces))
                                   / static_cast<double>(1 + m_impl->calls.size()))
                                    : Duration {};
    return untilFree
        + m_impl->forecast.expectedWait(priority, late, pieces + static_cast<std::size_t>(ahead), servers, now);
}

} // namespace foxtailwheel::serving
