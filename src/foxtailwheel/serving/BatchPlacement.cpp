#include "BatchQueueImpl.h"
#include "foxtailwheel/serving/ZoneForecast.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    /// Servers whose calls take longer than this multiple of the expected time are left alone while pieces can wait.
    constexpr double slowServer = 2.5;

} // namespace

/// Usable servers that take a call now.
std::vector<config::BackendServer> BatchQueue::Impl::freeServers(TimePoint now) const
{
    auto free = pool.freeServers(limits.slots + 1, now);
    std::erase_if(free, [&](const config::BackendServer& it) { return !calls.takesNext(it.id, limits, now); });
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
    std::set<BackendServerId> known;
    for (const auto& it : free)
        known.insert(it.id);
    for (const auto& [server, end] : calls.ends()) {
        if (!known.contains(server.id))
            zones.addServer(server.zone, std::max(end, now));
    }
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
std::vector<WaitingPiece> BatchQueue::Impl::take(
    const config::BackendServer& server, const Orders& leaving, TimePoint now)
{
    std::vector<WaitingPiece> pieces;
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
void BatchQueue::Impl::keepTogether(const std::vector<WaitingPiece>& sent, const AvailabilityZoneId& zone)
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

/// Chooses among the free servers of a zone that have the most room.
std::optional<routing::Placement> BatchQueue::Impl::placeIn(const AvailabilityZoneId& zone,
    const std::vector<config::BackendServer>& free, std::uint64_t mostRoom, TimePoint now)
{
    routing::PlacementRequest wanted;
    wanted.mostOwnCalls = limits.slots + 1;
    wanted.zone = zone;
    std::set<BackendServerId> usable;
    for (const auto& it : free) {
        if (it.zone == zone && room.left(it.id, now) >= mostRoom)
            usable.insert(it.id);
    }
    for (const auto& it : pool.freeServers(limits.slots + 1, now)) {
        if (!usable.contains(it.id))
            wanted.avoid.push_back(it.id);
    }
    // A server whose call is about to end counts with that call as well.
    if (!calls.empty())
        wanted.longest = fromSeconds(toSeconds(limits.callTime + limits.pieceTime) * (slowServer + 1));
    auto placement = pool.place(wanted, now);
    if (!placement || usable.contains(placement->server.id))
        return placement;
    pool.cancelled(placement->server.id, {}, now);
    return std::nullopt;
}

bool BatchQueue::Impl::sendOne(TimePoint now, std::vector<BatchAction>& out)
{
    if (waiting.empty() || calls.staying(now) >= mostCalls(now))
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
    const auto placement = placeIn(*zone, free, roomByZone[*zone], now);
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

} // namespace foxtailwheel::serving
