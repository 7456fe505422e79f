#include "foxtailwheel/serving/PieceBroker.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// An owner that does not acknowledge a request within this time counts as unreachable. Covers many round trips
    /// between zones.
    constexpr Duration ackTimeout = 250ms;
    /// Interval at which an owner sends heartbeats to instances with queued pieces.
    constexpr Duration heartbeatPeriod = 500ms;
    /// An owner without any message for this time counts as unreachable: two heartbeats and some network delay.
    constexpr Duration heartbeatTimeout = 1300ms;
    /// A group of which a live owner has said nothing for this time is requested again: its results may have been lost
    /// with a connection. Heartbeats name one of the groups only.
    constexpr Duration groupCheckPeriod = 1300ms;
    /// Time for which a silent owner receives no further requests.
    constexpr Duration silentOwnerBackoff = 2s;
    /// Time for which an instance that handed over its queue receives no further requests, until the membership update
    /// arrives here too.
    constexpr Duration handoverBackoff = 500ms;
    /// Time for which an instance receives no requests after it refused a connection, until membership shows whether it
    /// was removed.
    constexpr Duration unreachableBackoff = 1s;
    /// Time for which an instance acts as the owner after a request from another instance, even if its own membership
    /// view names another owner.
    constexpr Duration actingOwnerLifetime = 1s;
    /// Lifetime of the wait times reported by an owner: about the duration of two calls.
    constexpr Duration reportedWaitsLifetime = 800ms;

    /// A group that this instance sent to an owner.
    struct OutgoingGroup {
        ServiceId service;
        PieceGroup group; ///< Only pieces without a result.
        InstanceId owner;
        TimePoint sentAt;
        TimePoint lastMessageAt; ///< Time of the last message from the owner.
        TimePoint checkedAt; ///< Time of the last message about this group, from or to the owner.
        bool acknowledged = false;
        bool reassigned = false; ///< A previous owner was silent.

        /// Time at which the owner counts as silent unless another message arrives.
        TimePoint timeoutAt() const { return acknowledged ? lastMessageAt + heartbeatTimeout : sentAt + ackTimeout; }
        /// Time at which the group is requested again unless a message about it arrives.
        TimePoint checkAt() const { return checkedAt + groupCheckPeriod; }
    };

    /// Wait times that an owner reported for its queue.
    struct ReportedWaits {
        QueueWaits waits;
        TimePoint receivedAt;
    };

    std::size_t priorityIndex(std::uint32_t priority)
    {
        return std::min<std::size_t>(priority, reportedPriorities - 1);
    }

    /// A group in a local queue.
    struct QueuedGroup {
        InstanceId requester; ///< Empty for this instance.
        ServiceId service;
        PieceGroup group; ///< Under the ID assigned by the requester; only pieces without a result.
    };

    /// Removes a piece from a group and returns it.
    std::optional<Piece> takePiece(PieceGroup& group, std::uint32_t index)
    {
        const auto it = std::find_if(
            group.pieces.begin(), group.pieces.end(), [index](const Piece& p) { return p.index == index; });
        if (it == group.pieces.end())
            return std::nullopt;
        auto piece = std::move(*it);
        group.pieces.erase(it);
        return piece;
    }

    PieceGroup withoutPieces(const PieceGroup& group)
    {
        return { group.id, {}, group.priority, group.targetTime, group.deadline, group.preferredZone,
            group.crossZoneAfter, group.resultBytes, group.allowedZones };
    }

    /// Returns the expected waits for additional pieces.
    QueueWaits queueWaits(const BatchQueue& queue, std::size_t pieces, TimePoint now)
    {
        QueueWaits waits;
        for (std::size_t i = 0; i < reportedPriorities; ++i) {
            const auto priority = static_cast<std::uint32_t>(i);
            waits.byPriority.at(i) = queue.expectedWait(priority, false, pieces, now);
            waits.lateByPriority.at(i) = queue.expectedWait(priority, true, pieces, now);
        }
        waits.late = waits.lateByPriority.back();
        return waits;
    }

    PieceRequest makeRequest(const ServiceId& service, const PieceGroup& group, TimePoint now)
    {
        return { group.id, service, group.pieces, group.priority, group.targetTime - now, group.deadline - now,
            group.preferredZone.value_or(AvailabilityZoneId()), group.crossZoneAfter - now, group.resultBytes, false,
            group.allowedZones };
    }

    void appendResult(PieceResults& message, const QueuedGroup& group, const PieceDone& done)
    {
        message.group = group.group.id;
        message.service = group.service;
        message.pieces.push_back({ done.index, done.result });
    }

} // namespace

struct PieceBroker::Impl {
    Impl(InstanceId s, QueueLookup f, DecisionLog l)
        : self(std::move(s))
        , findQueue(std::move(f))
        , log(std::move(l))
    {
    }

    void enqueueLocally(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    void sendToOwner(
        const InstanceId& owner, const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    std::vector<PieceGroup> routeActions(const std::vector<BatchAction>& actions, TimePoint now, BrokerActions& out);
    void repeatRequest(OutgoingGroup& entry, TimePoint now, BrokerActions& out);
    void reassign(PieceGroupId group, TimePoint now, BrokerActions& out);
    void onRequest(const InstanceId& from, const PieceRequest& request, TimePoint now, BrokerActions& out);
    void onAck(const InstanceId& from, const PieceRequestAck& ack, TimePoint now);
    void onCancel(const InstanceId& from, const PieceRequestCancel& cancel);
    bool onUnknownService(const InstanceId& from, const PieceResults& results, TimePoint now, BrokerActions& out);
    void onResults(const InstanceId& from, const PieceResults& results, TimePoint now, BrokerActions& out);
    void resubmit(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    void handOver(TimePoint now, BrokerActions& out);
    void sendHeartbeats(TimePoint now, BrokerActions& out);
    InstanceId ownerOf(const ServiceId& service, TimePoint now) const;
    bool releaseLocally(const ReleaseResults& release, TimePoint now);
    bool isQueued(const InstanceId& requester, PieceGroupId group, std::uint32_t piece) const;
    void cancelQueued(const InstanceId& requester, PieceGroupId group);

    InstanceId self;
    QueueLookup findQueue;
    DecisionLog log;
    std::vector<InstanceId> live;
    std::map<InstanceId, TimePoint> avoidedUntil;
    std::map<PieceGroupId, OutgoingGroup> outgoingGroups;
    std::map<PieceGroupId, QueuedGroup> queuedGroups; ///< Keyed by the group ID in the local queues.
    std::map<ServiceId, ReportedWaits> reportedWaits;
    /// Services for which other instances recently sent requests here.
    std::map<ServiceId, TimePoint> actingOwnerUntil;
    std::uint64_t lastGroupId = 0;
    TimePoint lastHeartbeatAt {};
};

/// Adds a group to the local queue. Groups get a local ID there, since the IDs assigned by different requesters can
/// collide.
void PieceBroker::Impl::enqueueLocally(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    auto* queue = findQueue(service);
    if (queue == nullptr) {
        for (const auto& it : group.pieces)
            out.emplace_back(PieceDone { group.id, it.index, PieceFailure::Failed });
        return;
    }
    const PieceGroupId id(++lastGroupId);
    queuedGroups[id] = { {}, service, group };
    group.id = id;
    std::vector<BatchAction> actions;
    queue->add(std::move(group), now, actions);
    routeActions(actions, now, out);
}

void PieceBroker::Impl::sendToOwner(
    const InstanceId& owner, const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    auto message = makeRequest(service, group, now);
    const auto id = group.id;
    outgoingGroups[id] = { service, std::move(group), owner, now, now, now };
    out.emplace_back(SendToInstance { owner, std::move(message) });
}

/// Forwards calls, and results to their requesters; all results for one group of a requester go in one message.
/// @return Pieces of this instance that its queues hand over.
std::vector<PieceGroup> PieceBroker::Impl::routeActions(
    const std::vector<BatchAction>& actions, TimePoint now, BrokerActions& out)
{
    std::map<PieceGroupId, PieceGroup> returned;
    std::map<std::pair<InstanceId, PieceGroupId>, PieceResults> remoteResults;
    for (const auto& it : actions) {
        if (const auto* send = std::get_if<SendBatch>(&it)) {
            out.emplace_back(*send);
            continue;
        }
        const auto& done = std::get<PieceDone>(it);
        const auto entry = queuedGroups.find(done.group);
        if (entry == queuedGroups.end()) {
            // The group was cancelled. Its ID means nothing to the requester, but the result still has to be released.
            out.emplace_back(PieceDone { PieceGroupId(), done.index, done.result });
            continue;
        }
        auto& group = entry->second;
        auto piece = takePiece(group.group, done.index);
        const auto* failure = std::get_if<PieceFailure>(&done.result);
        if (!group.requester.empty()) {
            appendResult(remoteResults[{ group.requester, group.group.id }], group, done);
        } else if (piece && failure != nullptr && *failure == PieceFailure::OwnerChanged) {
            auto& pieces = returned.try_emplace(done.group, withoutPieces(group.group)).first->second.pieces;
            pieces.push_back(std::move(*piece));
        } else {
            out.emplace_back(PieceDone { group.group.id, done.index, done.result });
        }
        if (group.group.pieces.empty())
            queuedGroups.erase(entry);
    }
    for (auto& it : remoteResults) {
        if (const auto* queue = findQueue(it.second.service))
            it.second.waits = queueWaits(*queue, 1, now);
        out.emplace_back(SendToInstance { it.first.first, std::move(it.second) });
    }
    std::vector<PieceGroup> groups;
    for (auto& it : returned)
        groups.push_back(std::move(it.second));
    return groups;
}

/// Sends a request again to its owner, which may have it in its queue.
void PieceBroker::Impl::repeatRequest(OutgoingGroup& entry, TimePoint now, BrokerActions& out)
{
    entry.checkedAt = now;
    auto request = makeRequest(entry.service, entry.group, now);
    request.repeated = true;
    out.emplace_back(SendToInstance { entry.owner, std::move(request) });
}

/// Cancels a group at a silent owner and submits it to another instance.
void PieceBroker::Impl::reassign(PieceGroupId id, TimePoint now, BrokerActions& out)
{
    const auto it = outgoingGroups.find(id);
    auto entry = std::move(it->second);
    outgoingGroups.erase(it);
    if (log)
        log({ "owner_silent", entry.group.pieces.empty() ? std::string() : entry.group.pieces.front().request,
            { { "service", entry.service.value() }, { "owner", entry.owner.value() },
                { "confirmed", entry.acknowledged ? "1" : "0" }, { "again", entry.reassigned ? "1" : "0" },
                { "waited_ms", std::to_string(static_cast<long>(toMilliseconds(now - entry.sentAt))) } } });
    avoidedUntil[entry.owner] = now + silentOwnerBackoff;
    out.emplace_back(SendToInstance { entry.owner, PieceRequestCancel { id } });
    // The next candidate serves all requesters of the silent owner. Pieces are only processed locally if that candidate
    // is silent too, because separate calls from many instances would fill the servers' queues.
    if (entry.reassigned)
        enqueueLocally(entry.service, std::move(entry.group), now, out);
    else
        resubmit(entry.service, std::move(entry.group), now, out);
    if (const auto retried = outgoingGroups.find(id); retried != outgoingGroups.end())
        retried->second.reassigned = true;
}

void PieceBroker::Impl::onRequest(
    const InstanceId& from, const PieceRequest& request, TimePoint now, BrokerActions& out)
{
    auto* queue = findQueue(request.service);
    if (queue == nullptr) {
        PieceResults refusal { request.group, request.service, {}, {} };
        for (const auto& it : request.pieces)
            refusal.pieces.push_back({ it.index, PieceFailure::ServiceUnknown });
        out.emplace_back(SendToInstance { from, std::move(refusal) });
        return;
    }
    out.emplace_back(
        SendToInstance { from, PieceRequestAck { request.group, queueWaits(*queue, request.pieces.size(), now) } });
    PieceGroup group { request.group, request.pieces, request.priority, now + request.remainingTimeToTarget,
        now + request.remainingTime, std::nullopt, now + request.remainingTimeInZone, request.resultBytes,
        request.allowedZones };
    if (!request.preferredZone.empty())
        group.preferredZone = request.preferredZone;
    if (request.repeated)
        std::erase_if(group.pieces, [&](const Piece& it) { return isQueued(from, request.group, it.index); });
    if (group.pieces.empty())
        return;
    const PieceGroupId id(++lastGroupId);
    queuedGroups[id] = { from, request.service, group };
    group.id = id;
    actingOwnerUntil[request.service] = now + actingOwnerLifetime;
    std::vector<BatchAction> actions;
    queue->add(std::move(group), now, actions);
    routeActions(actions, now, out);
}

void PieceBroker::Impl::onAck(const InstanceId& from, const PieceRequestAck& ack, TimePoint now)
{
    const auto it = outgoingGroups.find(ack.group);
    if (it == outgoingGroups.end() || it->second.owner != from)
        return;
    it->second.acknowledged = true;
    it->second.checkedAt = now;
    reportedWaits[it->second.service] = { ack.waits, now };
}

void PieceBroker::Impl::onCancel(const InstanceId& from, const PieceRequestCancel& cancel)
{
    cancelQueued(from, cancel.group);
}

/// Returns true if a piece is in a local queue or in one of its calls.
bool PieceBroker::Impl::isQueued(const InstanceId& requester, PieceGroupId group, std::uint32_t piece) const
{
    return std::any_of(queuedGroups.begin(), queuedGroups.end(), [&](const auto& it) {
        const auto& pieces = it.second.group.pieces;
        return it.second.requester == requester && it.second.group.id == group
            && std::any_of(pieces.begin(), pieces.end(), [piece](const Piece& p) { return p.index == piece; });
    });
}

/// Cancels a group in the local queues.
/// @param requester Empty for this instance.
void PieceBroker::Impl::cancelQueued(const InstanceId& requester, PieceGroupId group)
{
    std::erase_if(queuedGroups, [&](const auto& it) {
        if (it.second.requester != requester || it.second.group.id != group)
            return false;
        if (auto* queue = findQueue(it.second.service))
            queue->cancel(it.first);
        return true;
    });
}

/// Takes back the pieces that an owner with another version of the configuration refused. Other candidates may have
/// that version too, so the pieces are processed locally.
/// @return False if the message has results.
bool PieceBroker::Impl::onUnknownService(
    const InstanceId& from, const PieceResults& results, TimePoint now, BrokerActions& out)
{
    if (results.pieces.empty() || results.pieces.front().result != PieceResult(PieceFailure::ServiceUnknown))
        return false;
    const auto it = outgoingGroups.find(results.group);
    if (it == outgoingGroups.end() || it->second.owner != from)
        return true;
    auto entry = std::move(it->second);
    outgoingGroups.erase(it);
    if (log)
        log({ "owner_lacks_service", entry.group.pieces.front().request,
            { { "service", entry.service.value() }, { "owner", from.value() } } });
    enqueueLocally(entry.service, std::move(entry.group), now, out);
    return true;
}

void PieceBroker::Impl::onResults(
    const InstanceId& from, const PieceResults& results, TimePoint now, BrokerActions& out)
{
    if (onUnknownService(from, results, now, out))
        return;
    reportedWaits[results.service] = { results.waits, now };
    const auto it = outgoingGroups.find(results.group);
    PieceGroup returned;
    for (const auto& piece : results.pieces) {
        const auto* failure = std::get_if<PieceFailure>(&piece.result);
        const bool ownerChanged = failure != nullptr && *failure == PieceFailure::OwnerChanged;
        // Results of a reassigned group are delivered as well: the first result of a piece counts.
        if (!ownerChanged)
            out.emplace_back(PieceDone { results.group, piece.index, piece.result });
        if (it == outgoingGroups.end())
            continue;
        auto& pieces = it->second.group.pieces;
        const auto outstanding
            = std::find_if(pieces.begin(), pieces.end(), [&piece](const Piece& p) { return p.index == piece.index; });
        if (outstanding == pieces.end())
            continue;
        if (ownerChanged)
            returned.pieces.push_back(std::move(*outstanding));
        pieces.erase(outstanding);
    }
    if (it == outgoingGroups.end())
        return;
    it->second.checkedAt = now;
    auto returnedPieces = std::move(returned.pieces);
    returned = it->second.group;
    returned.pieces = std::move(returnedPieces);
    const auto service = it->second.service;
    if (it->second.group.pieces.empty())
        outgoingGroups.erase(it);
    if (returned.pieces.empty())
        return;
    avoidedUntil[from] = now + handoverBackoff;
    resubmit(service, std::move(returned), now, out);
}

/// Submits pieces again that the previous owner did not send or whose request may be lost.
void PieceBroker::Impl::resubmit(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    const auto owner = ownerOf(service, now);
    const bool stillOutstanding = outgoingGroups.contains(group.id);
    if (owner == self || stillOutstanding)
        enqueueLocally(service, std::move(group), now, out);
    else
        sendToOwner(owner, service, std::move(group), now, out);
}

InstanceId PieceBroker::Impl::ownerOf(const ServiceId& service, TimePoint now) const
{
    InstanceId owner = self;
    std::uint64_t highest = 0;
    for (const auto& it : live) {
        const auto until = avoidedUntil.find(it);
        if (until != avoidedUntil.end() && until->second > now)
            continue;
        const auto weight = rendezvousWeight("pieces/" + service.value(), it.value());
        if (weight > highest) {
            owner = it;
            highest = weight;
        }
    }
    return owner;
}

/// Returns queued pieces to their requesters if another instance owns the service now.
void PieceBroker::Impl::handOver(TimePoint now, BrokerActions& out)
{
    std::set<ServiceId> services;
    for (const auto& it : queuedGroups)
        services.insert(it.second.service);
    for (const auto& service : services) {
        auto* queue = findQueue(service);
        if (queue == nullptr || ownerOf(service, now) == self)
            continue;
        std::vector<BatchAction> actions;
        queue->handOver(actions);
        for (auto& it : routeActions(actions, now, out))
            resubmit(service, std::move(it), now, out);
    }
}

PieceBroker::PieceBroker(InstanceId self, QueueLookup findQueue, DecisionLog log)
    : m_impl(std::make_unique<Impl>(std::move(self), std::move(findQueue), std::move(log)))
{
}

PieceBroker::~PieceBroker() = default;

void PieceBroker::setMembers(
    const std::vector<InstanceId>& live, const std::set<InstanceId>& removed, TimePoint now, BrokerActions& out)
{
    m_impl->live = live;
    std::vector<PieceGroupId> lost;
    for (const auto& it : m_impl->outgoingGroups) {
        if (removed.contains(it.second.owner))
            lost.push_back(it.first);
    }
    for (const auto id : lost)
        m_impl->reassign(id, now, out);
    m_impl->handOver(now, out);
}

bool PieceBroker::actsAsOwner(const ServiceId& service, TimePoint now) const
{
    const auto entry = m_impl->actingOwnerUntil.find(service);
    const bool acting = entry != m_impl->actingOwnerUntil.end() && entry->second > now;
    return acting || m_impl->ownerOf(service, now) == m_impl->self;
}

void PieceBroker::onConnectionLost(const InstanceId& instance, TimePoint now, BrokerActions& out)
{
    for (auto& [id, entry] : m_impl->outgoingGroups) {
        if (entry.owner != instance)
            continue;
        entry.sentAt = now;
        entry.lastMessageAt = now;
        entry.acknowledged = false;
        m_impl->repeatRequest(entry, now, out);
    }
}

void PieceBroker::onUnreachable(const InstanceId& instance, TimePoint now, BrokerActions& out)
{
    std::vector<PieceGroupId> lost;
    for (const auto& it : m_impl->outgoingGroups) {
        if (it.second.owner == instance)
            lost.push_back(it.first);
    }
    // An instance that restarts is reachable again within moments, as an owner with an empty queue.
    auto& avoidedUntil = m_impl->avoidedUntil[instance];
    avoidedUntil = std::max(avoidedUntil, now + unreachableBackoff);
    for (const auto id : lost) {
        auto entry = std::move(m_impl->outgoingGroups.at(id));
        m_impl->outgoingGroups.erase(id);
        m_impl->resubmit(entry.service, std::move(entry.group), now, out);
    }
}

InstanceId PieceBroker::ownerOf(const ServiceId& service, TimePoint now) const
{
    return m_impl->ownerOf(service, now);
}

void PieceBroker::submit(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    const auto owner = ownerOf(service, now);
    if (owner == m_impl->self)
        m_impl->enqueueLocally(service, std::move(group), now, out);
    else
        m_impl->sendToOwner(owner, service, std::move(group), now, out);
}

void PieceBroker::cancel(PieceGroupId group, BrokerActions& out)
{
    if (const auto it = m_impl->outgoingGroups.find(group); it != m_impl->outgoingGroups.end()) {
        out.emplace_back(SendToInstance { it->second.owner, PieceRequestCancel { group } });
        m_impl->outgoingGroups.erase(it);
    }
    m_impl->cancelQueued({}, group);
}

void PieceBroker::onMessage(const InstanceId& from, const PieceMessage& message, TimePoint now, BrokerActions& out)
{
    m_impl->avoidedUntil.erase(from);
    for (auto& it : m_impl->outgoingGroups) {
        if (it.second.owner == from)
            it.second.lastMessageAt = now;
    }
    if (const auto* request = std::get_if<PieceRequest>(&message))
        m_impl->onRequest(from, *request, now, out);
    else if (const auto* ack = std::get_if<PieceRequestAck>(&message))
        m_impl->onAck(from, *ack, now);
    else if (const auto* cancel = std::get_if<PieceRequestCancel>(&message))
        m_impl->onCancel(from, *cancel);
    else if (const auto* results = std::get_if<PieceResults>(&message))
        m_impl->onResults(from, *results, now, out);
    else if (const auto* release = std::get_if<ReleaseResults>(&message)) {
        m_impl->releaseLocally(*release, now);
        out.emplace_back(*release);
    }
}

/// Frees the capacity of results in the local queue whose calls produced them.
/// @return False if the results did not come from the local queue.
bool PieceBroker::Impl::releaseLocally(const ReleaseResults& release, TimePoint now)
{
    auto* queue = findQueue(release.service);
    return queue != nullptr && queue->onRelease(release, now);
}

void PieceBroker::release(ReleaseResults release, TimePoint now, BrokerActions& out)
{
    const auto owner = ownerOf(release.service, now);
    const bool known = m_impl->releaseLocally(release, now);
    if (known || owner == m_impl->self)
        out.emplace_back(std::move(release));
    else
        out.emplace_back(SendToInstance { owner, std::move(release) });
}

void PieceBroker::onBatchEnd(const ServiceId& service, CallId call, BatchOutcome outcome,
    const std::vector<PieceResult>& results, TimePoint now, BrokerActions& out)
{
    auto* queue = m_impl->findQueue(service);
    if (queue == nullptr)
        return;
    std::vector<BatchAction> actions;
    queue->onCallEnd(call, outcome, results, now, actions);
    m_impl->routeActions(actions, now, out);
}

void PieceBroker::dispatch(const ServiceId& service, TimePoint now, BrokerActions& out)
{
    auto* queue = m_impl->findQueue(service);
    if (queue == nullptr)
        return;
    std::vector<BatchAction> actions;
    queue->dispatch(now, actions);
    m_impl->routeActions(actions, now, out);
}

void PieceBroker::onTimer(TimePoint now, BrokerActions& out)
{
    std::vector<PieceGroupId> timedOut;
    for (const auto& it : m_impl->outgoingGroups) {
        if (it.second.timeoutAt() <= now)
            timedOut.push_back(it.first);
    }
    for (const auto id : timedOut)
        m_impl->reassign(id, now, out);
    for (auto& it : m_impl->outgoingGroups) {
        if (it.second.checkAt() <= now)
            m_impl->repeatRequest(it.second, now, out);
    }
    m_impl->sendHeartbeats(now, out);
}

/// Sends a heartbeat with the current queue waits to every instance that has pieces queued here.
void PieceBroker::Impl::sendHeartbeats(TimePoint now, BrokerActions& out)
{
    if (now - lastHeartbeatAt < heartbeatPeriod)
        return;
    lastHeartbeatAt = now;
    std::map<std::pair<InstanceId, ServiceId>, PieceGroupId> requesters;
    for (const auto& it : queuedGroups) {
        if (!it.second.requester.empty())
            requesters[{ it.second.requester, it.second.service }] = it.second.group.id;
    }
    for (const auto& [requester, group] : requesters) {
        if (const auto* queue = findQueue(requester.second))
            out.emplace_back(SendToInstance { requester.first, PieceRequestAck { group, queueWaits(*queue, 1, now) } });
    }
}

TimePoint PieceBroker::nextTimerAt() const
{
    auto next = TimePoint::max();
    for (const auto& it : m_impl->outgoingGroups)
        next = std::min({ next, it.second.timeoutAt(), it.second.checkAt() });
    if (!m_impl->queuedGroups.empty())
        next = std::min(next, m_impl->lastHeartbeatAt + heartbeatPeriod);
    return next;
}

Duration PieceBroker::expectedWait(
    const ServiceId& service, std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const
{
    const auto* queue = m_impl->findQueue(service);
    if (queue != nullptr && ownerOf(service, now) == m_impl->self)
        return queue->expectedWait(priority, late, pieces, now);
    const auto reported = m_impl->reportedWaits.find(service);
    if (reported == m_impl->reportedWaits.end() || now - reported->second.receivedAt > reportedWaitsLifetime)
        return {};
    const auto& waits = reported->second.waits;
    return (late ? waits.lateByPriority : waits.byPriority).at(priorityIndex(priority));
}

} // namespace foxtailwheel::serving
