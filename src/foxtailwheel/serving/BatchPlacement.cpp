#include "BatchQueueImpl.h"
#include "foxtailwheel/serving/ZoneForecast.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    /// Servers whose calls take longer than this multiple of the expected duration receive no calls while pieces can
    /// wait.
    constexpr double slowServerFactor = 2.5;
    /// Groups larger than this share of a call, or of the result capacity of a server, are split over several calls,
    /// since smaller groups would otherwise overtake them indefinitely.
    constexpr double maxGroupShareOfCall = 0.5;
    constexpr double maxGroupShareOfCapacity = 1.0 / 3;

} // namespace

/// Returns the usable servers that accept a call now.
std::vector<config::BackendServer> BatchQueue::Impl::freeServers(TimePoint now) const
{
    auto free = pool.availableServers(limits.slots + 1, now);
    std::erase_if(free, [&](const config::BackendServer& it) { return !calls.canSendTo(it.id, limits, now); });
    return free;
}

GroupSizes BatchQueue::Impl::groupSizes() const
{
    GroupSizes sizes;
    for (const auto& it : waiting)
        ++sizes[it.group];
    return sizes;
}

/// Returns the number of pieces that are sent in one call with a piece: its whole group, since the results of a partial
/// group would occupy capacity until the rest is processed, or 1 if the group is so large that it may never fit.
std::size_t BatchQueue::Impl::piecesInSameCall(const WaitingPiece& piece, const GroupSizes& sizes) const
{
    const auto n = sizes.at(piece.group);
    const auto bytes = static_cast<double>(n * piece.resultBytes);
    const bool large = static_cast<double>(n) > maxGroupShareOfCall * limits.maxPieces
        || (limits.resultCapacityBytes > 0
            && bytes > maxGroupShareOfCapacity * static_cast<double>(limits.resultCapacityBytes));
    return large ? 1 : n;
}

/// Returns the pieces that may be processed outside of their preferred zone, which makes their inputs or results cross
/// zones: those that do not fit into the next calls there, those that would finish too late there, and those for whose
/// results the idle servers there have no capacity.
ArrivalNumbers BatchQueue::Impl::piecesCrossingZones(const std::vector<config::BackendServer>& free,
    const CapacityByZone& capacityByZone, const GroupSizes& sizes, TimePoint now) const
{
    ZoneForecast zones(forecast, limits.maxPieces);
    for (const auto& it : free)
        zones.addServer(it.zone, now);
    std::set<BackendServerId> known;
    for (const auto& it : free)
        known.insert(it.id);
    // Calls in progress in a drained zone go on, but the zone takes no further pieces.
    const auto zonesInUse = pool.serversByZone();
    for (const auto& [server, end] : calls.lastEndTimes()) {
        if (!known.contains(server.id) && zonesInUse.contains(server.zone))
            zones.addServer(server.zone, std::max(end, now));
    }
    ArrivalNumbers crossing;
    std::map<AvailabilityZoneId, std::size_t> ahead;
    std::unordered_map<PieceGroupId, bool> decisions; ///< Set by the first piece of a group that is sent in one call.
    for (const auto& it : waiting) {
        if (!it.zone)
            continue;
        const auto before = ahead[*it.zone]++;
        const auto n = piecesInSameCall(it, sizes);
        const auto last = before + n - 1;
        const auto idle = capacityByZone.find(*it.zone);
        const bool noCapacity = idle != capacityByZone.end() && idle->second < n * it.resultBytes;
        bool crosses = noCapacity || zones.exceedsNextCalls(*it.zone, last)
            || zones.estimateCompletion(*it.zone, last) > it.crossZoneAfter;
        if (n > 1)
            crosses = decisions.try_emplace(it.group, crosses).first->second;
        if (crosses)
            crossing.insert(it.arrivalNumber);
    }
    return crossing;
}

/// Returns the zone with a free server for the first queued piece, in sending order, that can be sent now.
std::optional<AvailabilityZoneId> BatchQueue::Impl::nextZone(
    const CapacityByZone& capacityByZone, const ArrivalNumbers& crossing, const GroupSizes& sizes) const
{
    for (const auto& it : waiting) {
        auto largest = capacityByZone.end();
        for (auto zone = capacityByZone.begin(); zone != capacityByZone.end(); ++zone) {
            if (it.isAllowedIn(zone->first) && (largest == capacityByZone.end() || largest->second < zone->second))
                largest = zone;
        }
        const auto bytes = piecesInSameCall(it, sizes) * it.resultBytes;
        const auto preferred = it.zone ? capacityByZone.find(*it.zone) : capacityByZone.end();
        if (preferred != capacityByZone.end() && preferred->second >= bytes)
            return preferred->first;
        const bool mayCross = !it.zone || crossing.contains(it.arrivalNumber);
        if (mayCross && largest != capacityByZone.end() && largest->second >= bytes)
            return largest->first;
    }
    return std::nullopt;
}

/// Takes the pieces for a call to `server` from the queue as far as there is capacity for their results, first those
/// that can meet their latency target.
std::vector<WaitingPiece> BatchQueue::Impl::takePieces(
    const config::BackendServer& server, const ArrivalNumbers& crossing, const GroupSizes& sizes, TimePoint now)
{
    std::vector<WaitingPiece> pieces;
    auto available = capacity.available(server.id, now);
    std::unordered_map<PieceGroupId, bool> fits; ///< Set by the first piece of a group.
    const auto addEligible = [&](bool fromOtherZones, bool late) {
        fits.clear();
        for (auto it = waiting.begin(); it != waiting.end() && pieces.size() < limits.maxPieces;) {
            const auto next = std::next(it);
            const auto n = piecesInSameCall(*it, sizes);
            const bool localZone = !it->zone || *it->zone == server.zone;
            const bool inTime
                = it->targetTime >= now + forecast.callTime(std::min<std::size_t>(pieces.size() + n, limits.maxPieces));
            const bool eligible = it->isAllowedIn(server.zone) && (late || inTime)
                && (localZone || (fromOtherZones && crossing.contains(it->arrivalNumber)));
            bool selected = eligible && it->resultBytes <= available;
            if (n > 1) {
                const bool whole = pieces.size() + n <= limits.maxPieces && n * it->resultBytes <= available;
                selected = fits.try_emplace(it->group, eligible && whole).first->second;
            }
            if (selected) {
                available -= it->resultBytes;
                pieces.push_back(std::move(waiting.extract(it).value()));
            }
            it = next;
        }
    };
    addEligible(false, false);
    addEligible(true, false);
    addEligible(false, true);
    addEligible(true, true);
    return pieces;
}

/// Binds the queued pieces of groups without a preferred zone to the zone of their first pieces, so that the results of
/// a group are in one zone.
void BatchQueue::Impl::pinGroupsToZone(const std::vector<WaitingPiece>& sent, const AvailabilityZoneId& zone)
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

/// Places a call on one of the free servers of a zone that have at least the required capacity.
std::optional<routing::Placement> BatchQueue::Impl::placeInZone(const AvailabilityZoneId& zone,
    const std::vector<config::BackendServer>& free, std::uint64_t requiredCapacity, TimePoint now)
{
    routing::PlacementRequest request;
    request.maxOwnCalls = limits.slots + 1;
    request.preferredZone = zone;
    std::set<BackendServerId> usable;
    for (const auto& it : free) {
        if (it.zone == zone && capacity.available(it.id, now) >= requiredCapacity)
            usable.insert(it.id);
    }
    for (const auto& it : pool.availableServers(limits.slots + 1, now)) {
        if (!usable.contains(it.id))
            request.avoid.push_back(it.id);
    }
    // The expected time at a server whose call is about to end includes that call.
    if (!calls.empty())
        request.maxExpectedTime = fromSeconds(toSeconds(limits.callTime + limits.pieceTime) * (slowServerFactor + 1));
    auto placement = pool.place(request, now);
    if (!placement || usable.contains(placement->server.id))
        return placement;
    pool.onCallCancelled(placement->server.id, {}, now);
    return std::nullopt;
}

bool BatchQueue::Impl::sendNextCall(TimePoint now, std::vector<BatchAction>& out)
{
    if (waiting.empty() || calls.countNotEnding(now) >= maxCalls(now))
        return false;
    const auto free = freeServers(now);
    if (free.empty())
        return false;
    CapacityByZone capacityByZone;
    for (const auto& it : free) {
        auto& largest = capacityByZone[it.zone];
        largest = std::max(largest, capacity.available(it.id, now));
    }
    const auto sizes = groupSizes();
    const auto crossing = piecesCrossingZones(free, capacityByZone, sizes, now);
    const auto zone = nextZone(capacityByZone, crossing, sizes);
    if (!zone)
        return false;
    const auto placement = placeInZone(*zone, free, capacityByZone[*zone], now);
    if (!placement)
        return false;
    auto pieces = takePieces(placement->server, crossing, sizes, now);
    if (pieces.empty()) {
        pool.onCallCancelled(placement->server.id, {}, now);
        return false;
    }
    pinGroupsToZone(pieces, placement->server.zone);
    send(placement->server, std::move(pieces), now, out);
    return true;
}

} // namespace foxtailwheel::serving
