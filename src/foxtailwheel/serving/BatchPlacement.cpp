#include "BatchQueueImpl.h"
#include "foxtailwheel/serving/ZoneForecast.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    /// Servers whose calls take longer than this multiple of the expected time are left alone while pieces can wait.
    constexpr double slowServer = 2.5;
    /// Groups of more than this part of a call, or that need more than this part of a server's room, are split over
    /// calls: others that fit would pass them again and again.
    constexpr double mostOfCall = 0.5;
    constexpr double mostOfRoom = 1.0 / 3;

} // namespace

/// Usable servers that take a call now.
std::vector<config::BackendServer> BatchQueue::Impl::freeServers(TimePoint now) const
{
    auto free = pool.freeServers(limits.slots + 1, now);
    std::erase_if(free, [&](const config::BackendServer& it) { return !calls.takesNext(it.id, limits, now); });
    return free;
}

GroupSizes BatchQueue::Impl::groupSizes() const
{
    GroupSizes sizes;
    for (const auto& it : waiting)
        ++sizes[it.group];
    return sizes;
}

/// Pieces that leave in one call with a piece: its whole group, since results of a part would hold room until the rest
/// is made, or one where the group is so large that it may never fit.
std::size_t BatchQueue::Impl::leavesWith(const WaitingPiece& piece, const GroupSizes& sizes) const
{
    const auto n = sizes.at(piece.group);
    const auto bytes = static_cast<double>(n * piece.resultBytes);
    const bool large = static_cast<double>(n) > mostOfCall * limits.pieces
        || (limits.resultRoomBytes > 0 && bytes > mostOfRoom * static_cast<double>(limits.resultRoomBytes));
    return large ? 1 : n;
}

/// Pieces that may leave their zone, so that what they take or give crosses zones: those that the next calls there
/// cannot take, those that would be made too late there, and those whose results have no room at an idle server there.
Orders BatchQueue::Impl::leavingZones(const std::vector<config::BackendServer>& free, const RoomByZone& roomByZone,
    const GroupSizes& sizes, TimePoint now) const
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
    std::unordered_map<PieceGroupId, bool> decided; ///< At the first piece, for groups that leave in one call.
    for (const auto& it : waiting) {
        if (!it.zone)
            continue;
        const auto before = ahead[*it.zone]++;
        const auto n = leavesWith(it, sizes);
        const auto last = before + n - 1;
        const auto idle = roomByZone.find(*it.zone);
        const bool noRoom = idle != roomByZone.end() && idle->second < n * it.resultBytes;
        bool leaves
            = noRoom || zones.exceedsNextCalls(*it.zone, last) || zones.madeBy(*it.zone, last) > it.leaveZoneAfter;
        if (n > 1)
            leaves = decided.try_emplace(it.group, leaves).first->second;
        if (leaves)
            leaving.insert(it.order);
    }
    return leaving;
}

/// The zone of a free server that some piece may go to now, in the order in which pieces leave.
std::optional<AvailabilityZoneId> BatchQueue::Impl::zoneToServe(
    const RoomByZone& free, const Orders& leaving, const GroupSizes& sizes) const
{
    const auto widest
        = std::max_element(free.begin(), free.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    for (const auto& it : waiting) {
        const auto bytes = leavesWith(it, sizes) * it.resultBytes;
        const auto home = it.zone ? free.find(*it.zone) : free.end();
        if (home != free.end() && home->second >= bytes)
            return home->first;
        if ((!it.zone || leaving.contains(it.order)) && widest->second >= bytes)
            return widest->first;
    }
    return std::nullopt;
}

/// Fills a call for `server`: first with the pieces that can meet their goal, as far as there is room for results.
std::vector<WaitingPiece> BatchQueue::Impl::take(
    const config::BackendServer& server, const Orders& leaving, const GroupSizes& sizes, TimePoint now)
{
    std::vector<WaitingPiece> pieces;
    auto left = room.left(server.id, now);
    std::unordered_map<PieceGroupId, bool> fits; ///< Decided at the first piece of a group.
    const auto takeAll = [&](bool ofOtherZones, bool late) {
        fits.clear();
        for (auto it = waiting.begin(); it != waiting.end() && pieces.size() < limits.pieces;) {
            const auto next = std::next(it);
            const auto n = leavesWith(*it, sizes);
            const bool home = !it->zone || *it->zone == server.zone;
            const bool inTime
                = it->goal >= now + forecast.callTime(std::min<std::size_t>(pieces.size() + n, limits.pieces));
            const bool wanted = (late || inTime) && (home || (ofOtherZones && leaving.contains(it->order)));
            bool taken = wanted && it->resultBytes <= left;
            if (n > 1) {
                const bool whole = pieces.size() + n <= limits.pieces && n * it->resultBytes <= left;
                taken = fits.try_emplace(it->group, wanted && whole).first->second;
            }
            if (taken) {
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
    const auto sizes = groupSizes();
    const auto leaving = leavingZones(free, roomByZone, sizes, now);
    const auto zone = zoneToServe(roomByZone, leaving, sizes);
    if (!zone)
        return false;
    const auto placement = placeIn(*zone, free, roomByZone[*zone], now);
    if (!placement)
        return false;
    auto pieces = take(placement->server, leaving, sizes, now);
    if (pieces.empty()) {
        pool.cancelled(placement->server.id, {}, now);
        return false;
    }
    keepTogether(pieces, placement->server.zone);
    send(placement->server, std::move(pieces), now, out);
    return true;
}

} // namespace foxtailwheel::serving
