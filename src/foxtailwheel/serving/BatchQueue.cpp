#include "foxtailwheel/serving/BatchQueue.h"

#include "foxtailwheel/serving/BatchForecast.h"
#include "foxtailwheel/serving/ResultRoom.h"
#include "foxtailwheel/serving/ZoneForecast.h"

#include <algorithm>
#include <cmath>
#include <map>
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
    /// Pieces of a call that takes this multiple of its expected time are asked for at a second server.
    constexpr double doublingShare = 2.2;
    /// Servers whose calls take longer than this multiple of the expected time are left alone while pieces can wait.
    constexpr double slowServer = 2.5;
    /// Times that a piece is put back after a server said that it did not start it or has no room.
    constexpr std::uint32_t mostReturns = 6;
    /// Pause before a server that did not start a call is sent another: others fill its queue for about so long.
    constexpr Duration busyPause = 60ms;
    /// Period in which waiting pieces are checked against their deadlines, and calls against their expected time.
    constexpr Duration checkPeriod = 100ms;

    using PieceId = std::pair<PieceGroupId, std::uint32_t>;
    using RoomByZone = std::map<AvailabilityZoneId, std::uint64_t>; ///< Most room for results at a free server.
    using Orders = std::set<std::uint64_t>; ///< Pieces by their order of arrival.

    struct Waiting {
        PieceGroupId group;
        Piece piece;
        std::uint32_t priority = 0;
        TimePoint goal;
        TimePoint deadline;
        std::optional<AvailabilityZoneId> zone;
        TimePoint leaveZoneAfter;
        std::uint64_t resultBytes = 0;
        std::uint64_t order = 0; ///< Ties are taken in the order of arrival.
        std::uint32_t returns = 0;

        PieceId id() const { return { group, piece.index }; }
        friend bool operator<(const Waiting& a, const Waiting& b)
        {
            return std::tie(a.priority, a.goal, a.order) < std::tie(b.priority, b.goal, b.order);
        }
    };

    struct InProgress {
        config::BackendServer server;
        std::vector<Waiting> pieces;
        TimePoint sentAt;
        Duration expected {};
        std::uint64_t resultBytes = 0; ///< Of all its pieces.
        bool doubled = false; ///< Its pieces were put into the queue once more.
    };

} // namespace

std::string_view toString(PieceFailure failure)
{
    switch (failure) {
    case PieceFailure::Late:
        return "late";
    case PieceFailure::InputGone:
        return "input_gone";
    case PieceFailure::NoRoom:
        return "no_room";
    case PieceFailure::Moved:
        return "moved";
    case PieceFailure::Failed:
        break;
    }
    return "failed";
}

std::string_view toString(BatchEnd end)
{
    switch (end) {
    case BatchEnd::Answered:
        return "answered";
    case BatchEnd::NotRun:
        return "not_run";
    case BatchEnd::Unreachable:
        return "unreachable";
    case BatchEnd::Broken:
        break;
    }
    return "broken";
}

struct BatchQueue::Impl {
    Impl(ServiceId s, config::BatchLimits l, routing::ServerPool& p, BatchQueueEvents e)
        : service(std::move(s))
        , limits(l)
        , pool(p)
        , events(std::move(e))
        , forecast(l)
    {
        room.setLimits(l.resultRoomBytes, l.resultLife);
    }

    std::size_t mostCalls(TimePoint now) const;
    double servers(TimePoint now) const { return static_cast<double>(mostCalls(now)); }
    bool sendOne(TimePoint now, std::vector<BatchAction>& out);
    std::vector<config::BackendServer> freeServers(TimePoint now) const;
    std::optional<AvailabilityZoneId> zoneToServe(const RoomByZone& free, const Orders& leaving) const;
    Orders leavingZones(
        const std::vector<config::BackendServer>& free, const RoomByZone& roomByZone, TimePoint now) const;
    std::vector<Waiting> take(const config::BackendServer& server, const Orders& leaving, TimePoint now);
    void keepTogether(const std::vector<Waiting>& sent, const AvailabilityZoneId& zone);
    void send(
        const config::BackendServer& server, std::vector<Waiting> pieces, TimePoint now, std::vector<BatchAction>& out);
    void check(TimePoint now, std::vector<BatchAction>& out);
    bool isLate(const Waiting& piece, TimePoint now) const { return piece.goal < now + forecast.callTime(1); }
    void dropHopeless(TimePoint now, std::vector<BatchAction>& out);
    void doubleSlowCalls(TimePoint now);
    void decide(const Waiting& piece, const PieceResult& result, std::vector<BatchAction>& out);
    void putBack(Waiting piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out);
    routing::CallReport reportOf(const InProgress& call, BatchEnd end, TimePoint now) const;

    ServiceId service;
    config::BatchLimits limits;
    routing::ServerPool& pool;
    BatchQueueEvents events;
    BatchForecast forecast;
    ResultRoom room;
    double share = 1;
    std::set<Waiting> waiting;
    std::unordered_map<CallId, InProgress> calls;
    std::set<PieceId> twice; ///< Pieces that are in two calls, or in one and in the queue.
    std::set<PieceId> settled; ///< Of these, the ones that one call has decided.
    std::uint64_t arrivals = 0;
    std::optional<TimePoint> roomFreeAt; ///< When released room may let a waiting piece go.
    std::map<BackendServerId, TimePoint> busyUntil; ///< Servers that did not start a call.
    TimePoint checkedAt {};
};

/// Calls that this queue may have in progress at once.
std::size_t BatchQueue::Impl::mostCalls(TimePoint now) const
{
    return static_cast<std::size_t>(std::max(1.0, std::ceil(share * pool.slots(now))));
}

/// Usable servers with a slot for this queue that were not full a moment ago.
std::vector<config::BackendServer> BatchQueue::Impl::freeServers(TimePoint now) const
{
    auto free = pool.freeServers(limits.slots, now);
    std::erase_if(free, [&](const config::BackendServer& it) {
        const auto until = busyUntil.find(it.id);
        return until != busyUntil.end() && until->second > now;
    });
    return free;
}

/// Pieces that may leave their zone, so that what they take or give crosses zones: those that the next calls there
/// cannot take, those that would be made too late there, and those whose results have no room at an idle server there.
Orders BatchQueue::Impl::leavingZones(
    const std::vector<config::BackendServer>& free, const RoomByZone& roomByZone, TimePoint now) const
{
    ZoneForecast zones(forecast, limits.pieces);
    for (const auto& it : free)
        zones.addServer(it.zone, now);
    for (const auto& it : calls)
        zones.addServer(it.second.server.zone, std::max(it.second.sentAt + it.second.expected, now));
    Orders leaving;
    std::map<AvailabilityZoneId, std::size_t> ahead;
    for (const auto& it : waiting) {
        if (!it.zone)
            continue;
        const auto before = ahead[*it.zone]++;
        const auto idle = roomByZone.find(*it.zone);
        const bool noRoom = idle != roomByZone.end() && idle->second < it.resultBytes;
        if (noRoom || zones.exceedsNextCalls(*it.zone, before) || zones.madeBy(*it.zone, before) > it.leaveZoneAfter)
            leaving.insert(it.order);
    }
    return leaving;
}

/// The zone of a free server that some piece may go to now, in the order in which pieces leave.
std::optional<AvailabilityZoneId> BatchQueue::Impl::zoneToServe(const RoomByZone& free, const Orders& leaving) const
{
    const auto widest
        = std::max_element(free.begin(), free.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    for (const auto& it : waiting) {
        const auto home = it.zone ? free.find(*it.zone) : free.end();
        if (home != free.end() && home->second >= it.resultBytes)
            return home->first;
        if ((!it.zone || leaving.contains(it.order)) && widest->second >= it.resultBytes)
            return widest->first;
    }
    return std::nullopt;
}

/// Fills a call for `server`: first with the pieces that can meet their goal, as far as there is room for results.
std::vector<Waiting> BatchQueue::Impl::take(const config::BackendServer& server, const Orders& leaving, TimePoint now)
{
    std::vector<Waiting> pieces;
    auto left = room.left(server.id, now);
    const auto takeAll = [&](bool ofOtherZones, bool late) {
        for (auto it = waiting.begin(); it != waiting.end() && pieces.size() < limits.pieces;) {
            const auto next = std::next(it);
            const bool home = !it->zone || *it->zone == server.zone;
            const bool inTime = it->goal >= now + forecast.callTime(pieces.size() + 1);
            const bool wanted = late || inTime;
            if (wanted && it->resultBytes <= left && (home || (ofOtherZones && leaving.contains(it->order)))) {
                left -= it->resultBytes;
                pieces.push_back(std::move(waiting.extract(it).value()));
            }
            it = next;
        }
    };
    takeAll(false, false);
    takeAll(true, false);
    takeAll(false, true);
    takeAll(true, true);
    return pieces;
}

/// The rest of a group that was free to go anywhere follows its first pieces, so that its results lie in one zone.
void BatchQueue::Impl::keepTogether(const std::vector<Waiting>& sent, const AvailabilityZoneId& zone)
{
    std::set<PieceGroupId> groups;
    for (const auto& it : sent) {
        if (!it.zone)
            groups.insert(it.group);
    }
    for (auto it = waiting.begin(); it != waiting.end();) {
        const auto next = std::next(it);
        if (!it->zone && groups.contains(it->group)) {
            auto node = waiting.extract(it);
            node.value().zone = zone;
            waiting.insert(next, std::move(node));
        }
        it = next;
    }
}

bool BatchQueue::Impl::sendOne(TimePoint now, std::vector<BatchAction>& out)
{
    if (waiting.empty() || calls.size() >= mostCalls(now))
        return false;
    const auto free = freeServers(now);
    if (free.empty())
        return false;
    RoomByZone roomByZone;
    for (const auto& it : free) {
        auto& most = roomByZone[it.zone];
        most = std::max(most, room.left(it.id, now));
    }
    const auto leaving = leavingZones(free, roomByZone, now);
    const auto zone = zoneToServe(roomByZone, leaving);
    if (!zone)
        return false;
    routing::PlacementRequest wanted;
    wanted.mostOwnCalls = limits.slots;
    wanted.zone = *zone;
    for (const auto& it : free) {
        if (it.zone == *zone && room.left(it.id, now) < roomByZone[*zone])
            wanted.avoid.push_back(it.id);
    }
    for (const auto& it : busyUntil) {
        if (it.second > now)
            wanted.avoid.push_back(it.first);
    }
    if (!calls.empty())
        wanted.longest = fromSeconds(toSeconds(limits.callTime + limits.pieceTime) * slowServer);
    const auto placement = pool.place(wanted, now);
    if (!placement)
        return false;
    auto pieces = take(placement->server, leaving, now);
    if (pieces.empty()) {
        pool.cancelled(placement->server.id, {}, now);
        return false;
    }
    keepTogether(pieces, placement->server.zone);
    send(placement->server, std::move(pieces), now, out);
    return true;
}

void BatchQueue::Impl::send(
    const config::BackendServer& server, std::vector<Waiting> pieces, TimePoint now, std::vector<BatchAction>& out)
{
    InProgress call { server, std::move(pieces), now, {} };
    call.expected = forecast.callTime(call.pieces.size());
    SendBatch send { events.newCall(), service, server, {}, {}, {} };
    auto latest = now;
    for (const auto& it : call.pieces) {
        send.pieces.push_back(it.piece);
        send.timeLeft.push_back(it.deadline - now);
        latest = std::max(latest, it.deadline);
        call.resultBytes += it.resultBytes;
    }
    send.deadline = std::min(latest, now + std::max(leastPatience, fromSeconds(toSeconds(call.expected) * patience)));
    room.reserve(server.id, call.resultBytes);
    calls.emplace(send.call, std::move(call));
    out.emplace_back(std::move(send));
}

/// Gives out a piece's result once, however many calls it is in.
void BatchQueue::Impl::decide(const Waiting& piece, const PieceResult& result, std::vector<BatchAction>& out)
{
    const auto id = piece.id();
    if (twice.erase(id) > 0) {
        const auto copy
            = std::find_if(waiting.begin(), waiting.end(), [&id](const Waiting& it) { return it.id() == id; });
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
    for (auto& [id, call] : calls) {
        if (call.doubled || now - call.sentAt < fromSeconds(toSeconds(call.expected) * doublingShare))
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

void BatchQueue::Impl::putBack(Waiting piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out)
{
    if (piece.deadline <= now || ++piece.returns > mostReturns || twice.contains(piece.id())) {
        decide(piece, failure, out);
        return;
    }
    waiting.insert(std::move(piece));
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
    const auto one = limits.callTime + limits.pieceTime;
    const auto declared = limits.callTime + limits.pieceTime * call.pieces.size();
    report.time = fromSeconds(toSeconds(now - call.sentAt) * toSeconds(one) / std::max(1e-3, toSeconds(declared)));
    return report;
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
            group.preferredZone, group.leaveZoneAfter, group.resultBytes, ++m_impl->arrivals, 0 });
    pump(now, out);
}

void BatchQueue::cancel(PieceGroupId group)
{
    std::erase_if(m_impl->waiting, [group](const Waiting& it) { return it.group == group; });
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
    const auto it = m_impl->calls.find(id);
    if (it == m_impl->calls.end())
        return;
    auto call = std::move(it->second);
    m_impl->calls.erase(it);
    if (end == BatchEnd::Answered && results.size() != call.pieces.size())
        end = BatchEnd::Broken;
    m_impl->pool.ended(call.server.id, m_impl->reportOf(call, end, now), now);
    if (end == BatchEnd::Answered)
        m_impl->forecast.answered(call.pieces.size(), now - call.sentAt);
    else if (end == BatchEnd::NotRun)
        m_impl->busyUntil[call.server.id] = now + busyPause;
    m_impl->room.unreserve(call.server.id, call.resultBytes);
    for (std::size_t i = 0; i < call.pieces.size(); ++i) {
        auto& piece = call.pieces[i];
        auto result = end == BatchEnd::Answered ? results[i] : PieceResult(PieceFailure::Failed);
        if (auto* handle = std::get_if<ResultHandle>(&result)) {
            handle->service = m_impl->service;
            m_impl->room.made(call.server.id, handle->value, piece.resultBytes, now);
        }
        const auto* failure = std::get_if<PieceFailure>(&result);
        const bool notMade = end == BatchEnd::NotRun || end == BatchEnd::Unreachable
            || (failure != nullptr && *failure == PieceFailure::NoRoom);
        if (failure != nullptr && *failure == PieceFailure::NoRoom)
            m_impl->room.refused(call.server.id, piece.resultBytes, now);
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
    m_impl->check(now, out);
    std::erase_if(m_impl->busyUntil, [now](const auto& it) { return it.second <= now; });
    while (m_impl->sendOne(now, out)) { }
    m_impl->roomFreeAt = m_impl->waiting.empty() ? std::nullopt : m_impl->room.nextFree(now);
}

std::optional<TimePoint> BatchQueue::nextPump() const
{
    if (m_impl->waiting.empty() && m_impl->calls.empty())
        return std::nullopt;
    auto next = m_impl->checkedAt + checkPeriod;
    for (const auto& it : m_impl->busyUntil)
        next = std::min(next, it.second);
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
        [&](const Waiting& it) { return late || (it.priority <= priority && !m_impl->isLate(it, now)); });
    const auto servers = m_impl->servers(now);
    const bool busy = static_cast<double>(m_impl->calls.size()) >= servers;
    // While all servers are busy, the next one comes free after part of a call.
    const Duration untilFree = busy ? fromSeconds(toSeconds(m_impl->forecast.callTime(m_impl->limits.pieces))
                                   / static_cast<double>(1 + m_impl->calls.size()))
                                    : Duration {};
    return untilFree + m_impl->forecast.wait(priority, late, pieces + static_cast<std::size_t>(ahead), servers, now);
}

} // namespace foxtailwheel::serving
