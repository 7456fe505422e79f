#include "foxtailwheel/serving/BatchQueue.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// A call is given up after this multiple of its expected time: a server that is slow answers within it.
    constexpr double patience = 6;
    /// Least time that a call is waited for, whatever its size.
    constexpr Duration leastPatience = 1500ms;
    /// Times that a piece is put back after a server said that it did not start it or has no room.
    constexpr std::uint32_t mostReturns = 6;
    /// Pause before the queue sends again after a server had no room.
    constexpr Duration roomPause = 60ms;

    struct Waiting {
        PieceGroupId group;
        Piece piece;
        std::uint32_t priority = 0;
        TimePoint goal;
        TimePoint deadline;
        std::optional<AvailabilityZoneId> zone;
        std::uint64_t order = 0; ///< Ties are taken in the order of arrival.
        std::uint32_t returns = 0;

        friend bool operator<(const Waiting& a, const Waiting& b)
        {
            return std::tie(a.priority, a.goal, a.order) < std::tie(b.priority, b.goal, b.order);
        }
    };

    struct InProgress {
        BackendServerId server;
        std::vector<Waiting> pieces;
        TimePoint sentAt;
        Duration expected {};
    };

} // namespace

struct BatchQueue::Impl {
    Impl(ServiceId s, config::BatchLimits l, routing::ServerPool& p, std::function<CallId()> n)
        : service(std::move(s))
        , limits(l)
        , pool(p)
        , newCall(std::move(n))
    {
    }

    Duration expectedTime(std::size_t pieces) const { return limits.callTime + limits.pieceTime * pieces; }
    std::size_t mostCalls(TimePoint now) const;
    bool sendOne(TimePoint now, std::vector<BatchAction>& out);
    std::vector<Waiting> take(TimePoint now);
    void dropLate(TimePoint now, std::vector<BatchAction>& out);
    void putBack(Waiting piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out);
    routing::CallReport reportOf(const InProgress& call, BatchEnd end, TimePoint now) const;

    ServiceId service;
    config::BatchLimits limits;
    routing::ServerPool& pool;
    std::function<CallId()> newCall;
    double share = 1;
    std::set<Waiting> waiting;
    std::unordered_map<CallId, InProgress> calls;
    std::uint64_t arrivals = 0;
    TimePoint pausedUntil {};
};

/// Calls that this queue may have in progress at once.
std::size_t BatchQueue::Impl::mostCalls(TimePoint now) const
{
    return static_cast<std::size_t>(std::max(1.0, std::ceil(share * pool.slots(now))));
}

std::vector<Waiting> BatchQueue::Impl::take(TimePoint now)
{
    std::vector<Waiting> pieces;
    const auto takeAll = [&](bool lateToo) {
        for (auto it = waiting.begin(); it != waiting.end() && pieces.size() < limits.pieces;) {
            const auto next = std::next(it);
            if (lateToo || it->goal >= now + expectedTime(pieces.size() + 1))
                pieces.push_back(std::move(waiting.extract(it).value()));
            it = next;
        }
    };
    takeAll(false);
    takeAll(true);
    return pieces;
}

bool BatchQueue::Impl::sendOne(TimePoint now, std::vector<BatchAction>& out)
{
    if (waiting.empty() || calls.size() >= mostCalls(now))
        return false;
    routing::PlacementRequest wanted;
    wanted.mostOwnCalls = limits.slots;
    wanted.zone = waiting.begin()->zone;
    const auto placement = pool.place(wanted, now);
    if (!placement)
        return false;
    InProgress call { placement->server.id, take(now), now, {} };
    call.expected = expectedTime(call.pieces.size());
    SendBatch send { newCall(), service, placement->server, {}, {}, {} };
    auto latest = now;
    for (const auto& it : call.pieces) {
        send.pieces.push_back(it.piece);
        send.timeLeft.push_back(it.deadline - now);
        latest = std::max(latest, it.deadline);
    }
    send.deadline
        = std::min(latest, now + std::max(leastPatience, fromSeconds(toSeconds(call.expected) * patience)));
    calls.emplace(send.call, std::move(call));
    out.emplace_back(std::move(send));
    return true;
}

void BatchQueue::Impl::dropLate(TimePoint now, std::vector<BatchAction>& out)
{
    for (auto it = waiting.begin(); it != waiting.end();) {
        if (it->deadline > now) {
            ++it;
            continue;
        }
        out.emplace_back(PieceDone { it->group, it->piece.index, PieceFailure::Late });
        it = waiting.erase(it);
    }
}

void BatchQueue::Impl::putBack(Waiting piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out)
{
    if (piece.deadline <= now || ++piece.returns > mostReturns) {
        out.emplace_back(PieceDone { piece.group, piece.piece.index, failure });
        return;
    }
    waiting.insert(std::move(piece));
    pausedUntil = std::max(pausedUntil, now + roomPause);
}

/// The pool learns the time of a call with one piece, so calls of unlike size are brought to that size.
routing::CallReport BatchQueue::Impl::reportOf(const InProgress& call, BatchEnd end, TimePoint now) const
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
    report.time = fromSeconds(toSeconds(now - call.sentAt) * toSeconds(expectedTime(1)) / toSeconds(call.expected));
    return report;
}

BatchQueue::BatchQueue(
    ServiceId service, config::BatchLimits limits, routing::ServerPool& pool, std::function<CallId()> newCall)
    : m_impl(std::make_unique<Impl>(std::move(service), limits, pool, std::move(newCall)))
{
}

BatchQueue::~BatchQueue() = default;

void BatchQueue::setLimits(const config::BatchLimits& limits)
{
    m_impl->limits = limits;
}

void BatchQueue::setShare(double share)
{
    m_impl->share = share;
}

void BatchQueue::add(PieceGroup group, TimePoint now, std::vector<BatchAction>& out)
{
    for (auto& it : group.pieces)
        m_impl->waiting.insert({ group.id, std::move(it), group.priority, group.goal, group.deadline, group.preferredZone,
            ++m_impl->arrivals, 0 });
    pump(now, out);
}

void BatchQueue::cancel(PieceGroupId group)
{
    std::erase_if(m_impl->waiting, [group](const Waiting& it) { return it.group == group; });
}

void BatchQueue::ended(CallId id, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now,
    std::vector<BatchAction>& out)
{
    const auto it = m_impl->calls.find(id);
    if (it == m_impl->calls.end())
        return;
    auto call = std::move(it->second);
    m_impl->calls.erase(it);
    const bool whole = end == BatchEnd::Answered && results.size() == call.pieces.size();
    m_impl->pool.ended(call.server, m_impl->reportOf(call, whole || end != BatchEnd::Answered ? end : BatchEnd::Broken, now), now);
    for (std::size_t i = 0; i < call.pieces.size(); ++i) {
        auto& piece = call.pieces[i];
        if (!whole) {
            if (end == BatchEnd::NotRun || end == BatchEnd::Unreachable)
                m_impl->putBack(std::move(piece), PieceFailure::Failed, now, out);
            else
                out.emplace_back(PieceDone { piece.group, piece.piece.index, PieceFailure::Failed });
            continue;
        }
        const auto* failure = std::get_if<PieceFailure>(&results[i]);
        if (failure != nullptr && *failure == PieceFailure::NoRoom)
            m_impl->putBack(std::move(piece), *failure, now, out);
        else
            out.emplace_back(PieceDone { piece.group, piece.piece.index, results[i] });
    }
    pump(now, out);
}

void BatchQueue::pump(TimePoint now, std::vector<BatchAction>& out)
{
    m_impl->dropLate(now, out);
    if (now < m_impl->pausedUntil)
        return;
    while (m_impl->sendOne(now, out)) { }
}

std::optional<TimePoint> BatchQueue::nextPump() const
{
    if (m_impl->waiting.empty())
        return std::nullopt;
    return m_impl->pausedUntil;
}

std::size_t BatchQueue::waiting() const
{
    return m_impl->waiting.size();
}

std::size_t BatchQueue::callsInProgress() const
{
    return m_impl->calls.size();
}

Duration BatchQueue::expectedWait(std::uint32_t priority, std::size_t pieces, TimePoint now) const
{
    const auto ahead = static_cast<double>(pieces)
        + static_cast<double>(std::count_if(m_impl->waiting.begin(), m_impl->waiting.end(),
            [priority](const Waiting& it) { return it.priority <= priority; }));
    const double calls = std::ceil(ahead / std::max<double>(1, m_impl->limits.pieces));
    const double servers = static_cast<double>(m_impl->mostCalls(now));
    const double perCall = toSeconds(m_impl->expectedTime(m_impl->limits.pieces));
    const double inLast = std::min<double>(ahead, m_impl->limits.pieces);
    const double rounds = std::floor((calls - 1 + static_cast<double>(m_impl->calls.size())) / servers);
    return fromSeconds(rounds * perCall + toSeconds(m_impl->expectedTime(static_cast<std::size_t>(inLast))));
}

} // namespace foxtailwheel::serving
