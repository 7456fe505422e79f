#include "BatchQueueImpl.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// A call is given up after this multiple of its expected time: a server that is slow answers within it.
    constexpr double patience = 6;
    /// Least time that a call is waited for, whatever its size.
    constexpr Duration leastPatience = 1500ms;
    /// Pieces of a call that takes this multiple of its expected time are asked for at a second server.
    constexpr double doublingShare = 2.2;
    /// Times that a piece is put back after a server said that it did not start it or has no room.
    constexpr std::uint32_t mostReturns = 6;
    /// Period in which waiting pieces are checked against their deadlines, and calls against their expected time.
    constexpr Duration checkPeriod = 100ms;

} // namespace

/// Calls that this queue may have in progress at once.
std::size_t BatchQueue::Impl::mostCalls(TimePoint now) const
{
    return static_cast<std::size_t>(std::max(1.0, std::ceil(share * pool.slots(now))));
}

void BatchQueue::Impl::send(
    const config::BackendServer& server, std::vector<WaitingPiece> pieces, TimePoint now, std::vector<BatchAction>& out)
{
    BatchCall call { server, std::move(pieces), calls.freeAt(server.id, now), {} };
    call.expected = forecast.callTime(call.pieces.size());
    SendBatch send { events.newCall(), service, server, {}, {}, {}, {}, waiting.size() };
    auto latest = now;
    for (const auto& it : call.pieces) {
        send.pieces.push_back(it.piece);
        send.timeLeft.push_back(it.deadline - now);
        send.waited = std::max(send.waited, now - it.since);
        latest = std::max(latest, it.deadline);
        call.resultBytes += it.resultBytes;
    }
    send.deadline
        = std::min(latest, call.begunAt + std::max(leastPatience, fromSeconds(toSeconds(call.expected) * patience)));
    room.reserve(server.id, call.resultBytes);
    calls.add(send.call, std::move(call));
    out.emplace_back(std::move(send));
}

/// Gives out a piece's result once, however many calls it is in.
void BatchQueue::Impl::decide(const WaitingPiece& piece, const PieceResult& result, std::vector<BatchAction>& out)
{
    const auto id = piece.id();
    if (twice.erase(id) > 0) {
        const auto copy
            = std::find_if(waiting.begin(), waiting.end(), [&id](const WaitingPiece& it) { return it.id() == id; });
        if (copy != waiting.end()) {
            // The other one has not left: a failure leaves it in the queue, a result makes it needless.
            if (std::holds_alternative<PieceFailure>(result))
                return;
            waiting.erase(copy);
        } else if (std::holds_alternative<PieceFailure>(result)) {
            return;
        } else {
            settled.insert(id);
        }
        out.emplace_back(PieceDone { piece.group, piece.piece.index, result });
        return;
    }
    const bool late = settled.erase(id) > 0;
    out.emplace_back(PieceDone { late ? PieceGroupId() : piece.group, piece.piece.index, result });
}

void BatchQueue::Impl::check(TimePoint now, std::vector<BatchAction>& out)
{
    if (now - checkedAt < checkPeriod)
        return;
    checkedAt = now;
    dropHopeless(now, out);
    doubleSlowCalls(now);
}

/// Drops the pieces that will not be made before their deadline, as things stand: their callers learn it at once.
void BatchQueue::Impl::dropHopeless(TimePoint now, std::vector<BatchAction>& out)
{
    std::size_t ahead = 0;
    for (const bool late : { false, true }) {
        for (auto it = waiting.begin(); it != waiting.end();) {
            const auto piece = it++;
            if (isLate(*piece, now) != late)
                continue;
            const auto made = now + forecast.wait(piece->priority, late, ++ahead, servers(now), now);
            if (made <= piece->deadline || twice.contains(piece->id()))
                continue;
            --ahead;
            out.emplace_back(PieceDone { piece->group, piece->piece.index, PieceFailure::Late });
            waiting.erase(piece);
        }
    }
}

/// A piece may be made twice, so a call that takes far longer than expected is not waited for alone.
void BatchQueue::Impl::doubleSlowCalls(TimePoint now)
{
    for (auto& [id, call] : calls.all()) {
        if (call.doubled || now - call.begunAt < fromSeconds(toSeconds(call.expected) * doublingShare))
            continue;
        if (!events.takeRepeat(call.pieces.size(), now))
            continue;
        call.doubled = true;
        for (const auto& it : call.pieces) {
            if (it.deadline > now && !settled.contains(it.id()) && twice.insert(it.id()).second)
                waiting.insert(it);
        }
    }
}

void BatchQueue::Impl::putBack(WaitingPiece piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out)
{
    if (piece.deadline <= now || ++piece.returns > mostReturns || twice.contains(piece.id())) {
        decide(piece, failure, out);
        return;
    }
    waiting.insert(std::move(piece));
}

/// The pool learns the time of a call with one piece, so calls of unlike size are brought to that size.
routing::CallReport BatchQueue::Impl::reportOf(const BatchCall& call, BatchEnd end, TimePoint now) const
{
    routing::CallReport report;
    switch (end) {
    case BatchEnd::Answered:
        report.sign = routing::CallSign::Good;
        break;
    case BatchEnd::NotRun:
        report.sign = routing::CallSign::Busy;
        break;
    case BatchEnd::Unreachable:
        report.sign = routing::CallSign::Unreachable;
        break;
    case BatchEnd::Broken:
        report.sign = routing::CallSign::Broken;
        break;
    }
    const auto one = limits.callTime + limits.pieceTime;
    const auto declared = limits.callTime + limits.pieceTime * call.pieces.size();
    report.time = fromSeconds(toSeconds(now - call.begunAt) * toSeconds(one) / std::max(1e-3, toSeconds(declared)));
    return report;
}

/// Enters the results of a call, and then what its server refused for lack of room.
void BatchQueue::Impl::noteRoom(
    const BatchCall& call, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now)
{
    room.unreserve(call.server.id, call.resultBytes);
    if (end != BatchEnd::Answered)
        return;
    std::uint64_t refused = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto bytes = call.pieces[i].resultBytes;
        if (const auto* handle = std::get_if<ResultHandle>(&results[i]))
            room.made(call.server.id, handle->value, bytes, now);
        else if (std::get<PieceFailure>(results[i]) == PieceFailure::NoRoom)
            refused = refused == 0 ? bytes : std::min(refused, bytes);
    }
    if (refused > 0)
        room.refused(call.server.id, refused, now);
}

BatchQueue::BatchQueue(
    ServiceId service, config::BatchLimits limits, routing::ServerPool& pool, BatchQueueEvents events)
    : m_impl(std::make_unique<Impl>(std::move(service), limits, pool, std::move(events)))
{
}

BatchQueue::~BatchQueue() = default;

void BatchQueue::setLimits(const config::BatchLimits& limits)
{
    m_impl->limits = limits;
    m_impl->forecast.setLimits(limits);
    m_impl->room.setLimits(limits.resultRoomBytes, limits.resultLife);
}

void BatchQueue::setShare(double share)
{
    m_impl->share = share;
}

void BatchQueue::add(PieceGroup group, TimePoint now, std::vector<BatchAction>& out)
{
    if (group.goal >= now + m_impl->forecast.callTime(1))
        m_impl->forecast.arrived(group.priority, group.pieces.size(), now);
    for (auto& it : group.pieces)
        m_impl->waiting.insert({ group.id, std::move(it), group.priority, group.goal, group.deadline,
            group.preferredZone, group.leaveZoneAfter, group.resultBytes, ++m_impl->arrivals, now, 0 });
    pump(now, out);
}

void BatchQueue::cancel(PieceGroupId group)
{
    std::erase_if(m_impl->waiting, [group](const WaitingPiece& it) { return it.group == group; });
}

void BatchQueue::handOver(std::vector<BatchAction>& out)
{
    // A piece that is in a call as well stays: its call decides it.
    for (auto it = m_impl->waiting.begin(); it != m_impl->waiting.end();) {
        if (m_impl->twice.erase(it->id()) == 0)
            out.emplace_back(PieceDone { it->group, it->piece.index, PieceFailure::Moved });
        it = m_impl->waiting.erase(it);
    }
}

void BatchQueue::ended(
    CallId id, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now, std::vector<BatchAction>& out)
{
    auto taken = m_impl->calls.take(id, now);
    if (!taken)
        return;
    auto& call = *taken;
    if (end == BatchEnd::Answered && results.size() != call.pieces.size())
        end = BatchEnd::Broken;
    m_impl->pool.ended(call.server.id, m_impl->reportOf(call, end, now), now);
    if (end == BatchEnd::Answered)
        m_impl->forecast.answered(call.pieces.size(), now - call.begunAt);
    else if (end == BatchEnd::NotRun)
        m_impl->calls.pause(call.server.id, now);
    m_impl->noteRoom(call, end, results, now);
    for (std::size_t i = 0; i < call.pieces.size(); ++i) {
        auto& piece = call.pieces[i];
        auto result = end == BatchEnd::Answered ? results[i] : PieceResult(PieceFailure::Failed);
        if (auto* handle = std::get_if<ResultHandle>(&result))
            handle->service = m_impl->service;
        const auto* failure = std::get_if<PieceFailure>(&result);
        const bool notMade = end == BatchEnd::NotRun || end == BatchEnd::Unreachable
            || (failure != nullptr && *failure == PieceFailure::NoRoom);
        if (notMade)
            m_impl->putBack(std::move(piece), *failure, now, out);
        else
            m_impl->decide(piece, result, out);
    }
    pump(now, out);
}

bool BatchQueue::released(const ReleaseResults& release, TimePoint now)
{
    bool known = false;
    for (const auto& it : release.handles)
        known = m_impl->room.released(release.maker.id, it, now) || known;
    if (known && !m_impl->waiting.empty())
        m_impl->roomFreeAt = m_impl->room.nextFree(now);
    return known;
}

void BatchQueue::pump(TimePoint now, std::vector<BatchAction>& out)
{
    m_impl->pumpedAt = now;
    m_impl->check(now, out);
    while (m_impl->sendOne(now, out)) { }
    m_impl->roomFreeAt = m_impl->waiting.empty() ? std::nullopt : m_impl->room.nextFree(now);
}

std::optional<TimePoint> BatchQueue::nextPump() const
{
    if (m_impl->waiting.empty() && m_impl->calls.empty())
        return std::nullopt;
    auto next = m_impl->checkedAt + checkPeriod;
    if (m_impl->waiting.empty())
        return next;
    next = std::min(next, m_impl->calls.nextChange(m_impl->pumpedAt));
    if (m_impl->roomFreeAt)
        next = std::min(next, *m_impl->roomFreeAt);
    return next;
}

std::size_t BatchQueue::waiting() const
{
    return m_impl->waiting.size();
}

std::size_t BatchQueue::callsInProgress() const
{
    return m_impl->calls.size();
}

Duration BatchQueue::expectedWait(std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const
{
    const auto ahead = std::count_if(m_impl->waiting.begin(), m_impl->waiting.end(),
        [&](const WaitingPiece& it) { return late || (it.priority <= priority && !m_impl->isLate(it, now)); });
    const auto servers = m_impl->servers(now);
    const bool busy = static_cast<double>(m_impl->calls.staying(now)) >= servers;
    // While all servers are busy, the next one comes free after part of a call.
    const Duration untilFree = busy ? fromSeconds(toSeconds(m_impl->forecast.callTime(m_impl->limits.pieces))
                                   / static_cast<double>(1 + m_impl->calls.size()))
                                    : Duration {};
    return untilFree + m_impl->forecast.wait(priority, late, pieces + static_cast<std::size_t>(ahead), servers, now);
}

} // namespace foxtailwheel::serving
