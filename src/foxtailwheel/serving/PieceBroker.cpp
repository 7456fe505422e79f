#include "foxtailwheel/serving/PieceBroker.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// An owner confirms within this time, or counts as unreachable: many round trips between zones.
    constexpr Duration confirmLimit = 250ms;
    /// Period in which an owner tells those that wait for it that it is there.
    constexpr Duration heartbeatPeriod = 500ms;
    /// An owner that says nothing for this long has lost its way here, or is gone: two heartbeats and some delay.
    constexpr Duration silenceLimit = 1300ms;
    /// Time for which an owner that did not answer is not asked again.
    constexpr Duration avoidTime = 2s;
    /// Time for which an instance that gave up a queue is not asked again, until its leaving is known here too.
    constexpr Duration movedAvoidTime = 500ms;
    /// Time for which an instance whose connection ended is not asked, while others learn whether it is gone.
    constexpr Duration lostAvoidTime = 1s;
    /// Time for which an instance that others ask acts as the owner, though by its own view it may not be.
    constexpr Duration servedTime = 1s;
    /// Time for which an owner's word about its queue counts: about the time of two calls.
    constexpr Duration toldLife = 800ms;

    /// A group that this instance asked for.
    struct Asked {
        ServiceId service;
        PieceGroup group; ///< Pieces that are not decided yet.
        InstanceId owner;
        TimePoint askedAt;
        TimePoint heardAt; ///< When the owner last said anything.
        bool confirmed = false;
        bool takenBack = false; ///< An owner before did not answer.

        /// When the owner counts as silent, if nothing more is heard of it.
        TimePoint silentAt() const { return confirmed ? heardAt + silenceLimit : askedAt + confirmLimit; }
    };

    /// What an owner said of its queue.
    struct Told {
        QueueWaits waits;
        TimePoint at;
    };

    std::size_t toldIndex(std::uint32_t priority)
    {
        return std::min<std::size_t>(priority, toldPriorities - 1);
    }

    /// A group of this instance's own queue.
    struct Queued {
        InstanceId asker; ///< Empty for this instance.
        PieceGroupId theirs; ///< The asker's number.
        ServiceId service;
        std::size_t missing = 0;
    };

    /// How long so many more pieces would wait.
    QueueWaits waitsOf(const BatchQueue& queue, std::size_t pieces, TimePoint now)
    {
        QueueWaits waits;
        for (std::size_t i = 0; i < toldPriorities; ++i)
            waits.timely.at(i) = queue.expectedWait(static_cast<std::uint32_t>(i), false, pieces, now);
        waits.late = queue.expectedWait(0, true, pieces, now);
        return waits;
    }

    void addTo(PiecesMade& message, const Queued& group, const PieceDone& done)
    {
        message.group = group.theirs;
        message.service = group.service;
        message.pieces.push_back({ done.index, done.result });
    }

} // namespace

struct PieceBroker::Impl {
    Impl(InstanceId s, FindQueue f, NoteSink n)
        : self(std::move(s))
        , findQueue(std::move(f))
        , note(std::move(n))
    {
    }

    void makeHere(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    void askOwner(
        const InstanceId& owner, const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    std::vector<PieceGroupId> carryOn(const std::vector<BatchAction>& actions, TimePoint now, BrokerActions& out);
    void carry(const std::vector<BatchAction>& actions, TimePoint now, BrokerActions& out);
    void takeBack(PieceGroupId group, TimePoint now, BrokerActions& out);
    void onAsked(const InstanceId& from, const PiecesAsked& asked, TimePoint now, BrokerActions& out);
    void onTaken(const InstanceId& from, const PiecesTaken& taken, TimePoint now);
    void onCancelled(const InstanceId& from, const PiecesCancelled& cancelled);
    void onMade(const InstanceId& from, const PiecesMade& made, TimePoint now, BrokerActions& out);
    void askAgain(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    void handOver(TimePoint now, BrokerActions& out);
    void beat(TimePoint now, BrokerActions& out);
    void takeOwn(const ServiceId& service, BrokerActions given, TimePoint now, BrokerActions& out);
    InstanceId ownerOf(const ServiceId& service, TimePoint now) const;
    bool releaseHere(const ReleaseResults& release, TimePoint now);

    InstanceId self;
    FindQueue findQueue;
    NoteSink note;
    std::vector<InstanceId> live;
    std::map<InstanceId, TimePoint> avoided;
    std::map<PieceGroupId, Asked> asked;
    std::map<PieceGroupId, Queued> queued; ///< By the number in the local queues.
    std::map<PieceGroupId, PieceGroup> ownGroups; ///< This instance's own groups in its queues, by the asker's number.
    std::map<ServiceId, Told> told;
    std::map<ServiceId, TimePoint> servedUntil; ///< Services that others asked this instance for lately.
    std::uint64_t lastQueued = 0;
    TimePoint beatAt {};
};

/// Groups in the local queues have numbers of their own, since askers number theirs themselves.
void PieceBroker::Impl::makeHere(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    auto* queue = findQueue(service);
    const auto theirs = group.id;
    if (queue == nullptr) {
        for (const auto& it : group.pieces)
            out.emplace_back(PieceDone { theirs, it.index, PieceFailure::Failed });
        return;
    }
    group.id = PieceGroupId(++lastQueued);
    queued[group.id] = { {}, theirs, service, group.pieces.size() };
    ownGroups[theirs] = group;
    ownGroups[theirs].id = theirs;
    std::vector<BatchAction> actions;
    queue->add(std::move(group), now, actions);
    carry(actions, now, out);
}

void PieceBroker::Impl::askOwner(
    const InstanceId& owner, const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    PiecesAsked message { group.id, service, group.pieces, group.priority, group.goal - now, group.deadline - now,
        group.preferredZone.value_or(AvailabilityZoneId()), group.leaveZoneAfter - now, group.resultBytes };
    const auto id = group.id;
    asked[id] = { service, std::move(group), owner, now, now };
    out.emplace_back(TellInstance { owner, std::move(message) });
}

/// Passes calls on, and results to who asked for them; results of one asker's group go in one message.
/// @return This instance's own groups that are done.
std::vector<PieceGroupId> PieceBroker::Impl::carryOn(
    const std::vector<BatchAction>& actions, TimePoint now, BrokerActions& out)
{
    std::vector<PieceGroupId> finished;
    std::map<std::pair<InstanceId, PieceGroupId>, PiecesMade> remote;
    for (const auto& it : actions) {
        if (const auto* send = std::get_if<SendBatch>(&it)) {
            out.emplace_back(*send);
            continue;
        }
        const auto& done = std::get<PieceDone>(it);
        const auto entry = queued.find(done.group);
        if (entry == queued.end()) {
            // Cancelled meanwhile: the number tells its owner's asker nothing, but the result still has to be released.
            out.emplace_back(PieceDone { PieceGroupId(), done.index, done.result });
            continue;
        }
        auto& group = entry->second;
        if (group.asker.empty())
            out.emplace_back(PieceDone { group.theirs, done.index, done.result });
        else
            addTo(remote[{ group.asker, group.theirs }], group, done);
        if (--group.missing > 0)
            continue;
        if (group.asker.empty())
            finished.push_back(group.theirs);
        queued.erase(entry);
    }
    for (auto& it : remote) {
        if (const auto* queue = findQueue(it.second.service))
            it.second.waits = waitsOf(*queue, 1, now);
        out.emplace_back(TellInstance { it.first.first, std::move(it.second) });
    }
    return finished;
}

void PieceBroker::Impl::carry(const std::vector<BatchAction>& actions, TimePoint now, BrokerActions& out)
{
    for (const auto id : carryOn(actions, now, out))
        ownGroups.erase(id);
}

/// Asks another for a group that its owner does not answer for.
void PieceBroker::Impl::takeBack(PieceGroupId id, TimePoint now, BrokerActions& out)
{
    const auto it = asked.find(id);
    auto entry = std::move(it->second);
    asked.erase(it);
    if (note)
        note({ "owner_silent", entry.group.pieces.empty() ? std::string() : entry.group.pieces.front().request,
            { { "service", entry.service.value() }, { "owner", entry.owner.value() },
                { "confirmed", entry.confirmed ? "1" : "0" }, { "again", entry.takenBack ? "1" : "0" },
                { "waited_ms", std::to_string(static_cast<long>(toMilliseconds(now - entry.askedAt))) } } });
    avoided[entry.owner] = now + avoidTime;
    out.emplace_back(TellInstance { entry.owner, PiecesCancelled { id } });
    // The next in line gathers the pieces of all who miss the owner; only where that one is silent too are they made
    // here, since the calls of many instances each for itself would fill the servers' queues.
    if (entry.takenBack)
        makeHere(entry.service, std::move(entry.group), now, out);
    else
        askAgain(entry.service, std::move(entry.group), now, out);
    if (const auto again = asked.find(id); again != asked.end())
        again->second.takenBack = true;
}

void PieceBroker::Impl::onAsked(const InstanceId& from, const PiecesAsked& message, TimePoint now, BrokerActions& out)
{
    auto* queue = findQueue(message.service);
    if (queue == nullptr)
        return;
    PieceGroup group { PieceGroupId(++lastQueued), message.pieces, message.priority, now + message.goalLeft,
        now + message.timeLeft, std::nullopt, now + message.zoneLeft, message.resultBytes };
    if (!message.preferredZone.empty())
        group.preferredZone = message.preferredZone;
    const PiecesTaken taken { message.group, waitsOf(*queue, message.pieces.size(), now) };
    queued[group.id] = { from, message.group, message.service, message.pieces.size() };
    servedUntil[message.service] = now + servedTime;
    out.emplace_back(TellInstance { from, taken });
    std::vector<BatchAction> actions;
    queue->add(std::move(group), now, actions);
    carry(actions, now, out);
}

void PieceBroker::Impl::onTaken(const InstanceId& from, const PiecesTaken& taken, TimePoint now)
{
    const auto it = asked.find(taken.group);
    if (it == asked.end() || it->second.owner != from)
        return;
    it->second.confirmed = true;
    told[it->second.service] = { taken.waits, now };
}

void PieceBroker::Impl::onCancelled(const InstanceId& from, const PiecesCancelled& cancelled)
{
    const auto it = std::find_if(queued.begin(), queued.end(),
        [&](const auto& entry) { return entry.second.asker == from && entry.second.theirs == cancelled.group; });
    if (it == queued.end())
        return;
    if (auto* queue = findQueue(it->second.service))
        queue->cancel(it->first);
    queued.erase(it);
}

void PieceBroker::Impl::onMade(const InstanceId& from, const PiecesMade& made, TimePoint now, BrokerActions& out)
{
    told[made.service] = { made.waits, now };
    const auto it = asked.find(made.group);
    PieceGroup moved;
    for (const auto& piece : made.pieces) {
        const auto* failure = std::get_if<PieceFailure>(&piece.result);
        const bool hasMoved = failure != nullptr && *failure == PieceFailure::Moved;
        // Results of a group that was taken back are given out all the same: the first one counts.
        if (!hasMoved)
            out.emplace_back(PieceDone { made.group, piece.index, piece.result });
        if (it == asked.end())
            continue;
        auto& pieces = it->second.group.pieces;
        const auto waiting
            = std::find_if(pieces.begin(), pieces.end(), [&piece](const Piece& p) { return p.index == piece.index; });
        if (waiting == pieces.end())
            continue;
        if (hasMoved)
            moved.pieces.push_back(std::move(*waiting));
        pieces.erase(waiting);
    }
    if (it == asked.end())
        return;
    auto rest = std::move(moved.pieces);
    moved = it->second.group;
    moved.pieces = std::move(rest);
    const auto service = it->second.service;
    if (it->second.group.pieces.empty())
        asked.erase(it);
    if (moved.pieces.empty())
        return;
    avoided[from] = now + movedAvoidTime;
    askAgain(service, std::move(moved), now, out);
}

/// Asks the present owner for pieces that did not leave the queue of the one before.
void PieceBroker::Impl::askAgain(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    const auto owner = ownerOf(service, now);
    const bool stillAsked = asked.contains(group.id);
    if (owner == self || stillAsked)
        makeHere(service, std::move(group), now, out);
    else
        askOwner(owner, service, std::move(group), now, out);
}

InstanceId PieceBroker::Impl::ownerOf(const ServiceId& service, TimePoint now) const
{
    InstanceId owner = self;
    std::uint64_t highest = 0;
    for (const auto& it : live) {
        const auto until = avoided.find(it);
        if (until != avoided.end() && until->second > now)
            continue;
        const auto weight = rendezvousWeight("pieces/" + service.value(), it.value());
        if (weight > highest) {
            owner = it;
            highest = weight;
        }
    }
    return owner;
}

/// Gives pieces that wait here back to their askers where another instance owns the service now.
void PieceBroker::Impl::handOver(TimePoint now, BrokerActions& out)
{
    std::set<ServiceId> services;
    for (const auto& it : queued)
        services.insert(it.second.service);
    for (const auto& service : services) {
        auto* queue = findQueue(service);
        if (queue == nullptr || ownerOf(service, now) == self)
            continue;
        std::vector<BatchAction> actions;
        queue->handOver(actions);
        BrokerActions given;
        const auto finished = carryOn(actions, now, given);
        takeOwn(service, std::move(given), now, out);
        for (const auto id : finished)
            ownGroups.erase(id);
    }
}

/// This instance's own pieces among those given up are asked for again; the rest is passed on.
void PieceBroker::Impl::takeOwn(const ServiceId& service, BrokerActions results, TimePoint now, BrokerActions& out)
{
    std::map<PieceGroupId, std::vector<std::uint32_t>> own;
    for (auto& it : results) {
        const auto* done = std::get_if<PieceDone>(&it);
        const auto* failure = done == nullptr ? nullptr : std::get_if<PieceFailure>(&done->result);
        if (failure != nullptr && *failure == PieceFailure::Moved)
            own[done->group].push_back(done->index);
        else
            out.push_back(std::move(it));
    }
    for (auto& [id, indexes] : own) {
        const auto it = ownGroups.find(id);
        if (it == ownGroups.end())
            continue;
        auto group = it->second;
        const auto& given = indexes;
        std::erase_if(group.pieces,
            [&given](const Piece& p) { return std::find(given.begin(), given.end(), p.index) == given.end(); });
        askAgain(service, std::move(group), now, out);
    }
}

PieceBroker::PieceBroker(InstanceId self, FindQueue findQueue, NoteSink note)
    : m_impl(std::make_unique<Impl>(std::move(self), std::move(findQueue), std::move(note)))
{
}

PieceBroker::~PieceBroker() = default;

void PieceBroker::setMembers(
    const std::vector<InstanceId>& live, const std::set<InstanceId>& gone, TimePoint now, BrokerActions& out)
{
    m_impl->live = live;
    std::vector<PieceGroupId> lost;
    for (const auto& it : m_impl->asked) {
        if (gone.contains(it.second.owner))
            lost.push_back(it.first);
    }
    for (const auto id : lost)
        m_impl->takeBack(id, now, out);
    m_impl->handOver(now, out);
}

bool PieceBroker::gathers(const ServiceId& service, TimePoint now) const
{
    const auto served = m_impl->servedUntil.find(service);
    const bool asked = served != m_impl->servedUntil.end() && served->second > now;
    return asked || m_impl->ownerOf(service, now) == m_impl->self;
}

void PieceBroker::onLost(const InstanceId& instance, TimePoint now, BrokerActions& out)
{
    std::vector<PieceGroupId> lost;
    for (const auto& it : m_impl->asked) {
        if (it.second.owner == instance)
            lost.push_back(it.first);
    }
    // An instance that restarts is back in a moment, as an owner whose queue is empty.
    m_impl->avoided[instance] = now + lostAvoidTime;
    for (const auto id : lost) {
        auto entry = std::move(m_impl->asked.at(id));
        m_impl->asked.erase(id);
        m_impl->askAgain(entry.service, std::move(entry.group), now, out);
    }
}

InstanceId PieceBroker::ownerOf(const ServiceId& service, TimePoint now) const
{
    return m_impl->ownerOf(service, now);
}

void PieceBroker::ask(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out)
{
    const auto owner = ownerOf(service, now);
    if (owner == m_impl->self)
        m_impl->makeHere(service, std::move(group), now, out);
    else
        m_impl->askOwner(owner, service, std::move(group), now, out);
}

void PieceBroker::cancel(PieceGroupId group, BrokerActions& out)
{
    if (const auto it = m_impl->asked.find(group); it != m_impl->asked.end()) {
        out.emplace_back(TellInstance { it->second.owner, PiecesCancelled { group } });
        m_impl->asked.erase(it);
    }
    std::erase_if(m_impl->queued, [this, group](const auto& it) {
        if (!it.second.asker.empty() || it.second.theirs != group)
            return false;
        if (auto* queue = m_impl->findQueue(it.second.service))
            queue->cancel(it.first);
        return true;
    });
    m_impl->ownGroups.erase(group);
}

void PieceBroker::onMessage(const InstanceId& from, const PieceMessage& message, TimePoint now, BrokerActions& out)
{
    m_impl->avoided.erase(from);
    for (auto& it : m_impl->asked) {
        if (it.second.owner == from)
            it.second.heardAt = now;
    }
    if (const auto* asked = std::get_if<PiecesAsked>(&message))
        m_impl->onAsked(from, *asked, now, out);
    else if (const auto* taken = std::get_if<PiecesTaken>(&message))
        m_impl->onTaken(from, *taken, now);
    else if (const auto* cancelled = std::get_if<PiecesCancelled>(&message))
        m_impl->onCancelled(from, *cancelled);
    else if (const auto* made = std::get_if<PiecesMade>(&message))
        m_impl->onMade(from, *made, now, out);
    else if (const auto* release = std::get_if<ReleaseResults>(&message)) {
        m_impl->releaseHere(*release, now);
        out.emplace_back(*release);
    }
}

/// Gives the room of results back to the queue that had them made.
/// @return False where that is not this instance's queue.
bool PieceBroker::Impl::releaseHere(const ReleaseResults& release, TimePoint now)
{
    auto* queue = findQueue(release.service);
    return queue != nullptr && queue->released(release, now);
}

void PieceBroker::release(ReleaseResults release, TimePoint now, BrokerActions& out)
{
    const auto owner = ownerOf(release.service, now);
    const bool known = m_impl->releaseHere(release, now);
    if (known || owner == m_impl->self)
        out.emplace_back(std::move(release));
    else
        out.emplace_back(TellInstance { owner, std::move(release) });
}

void PieceBroker::onBatchEnd(const ServiceId& service, CallId call, BatchEnd end,
    const std::vector<PieceResult>& results, TimePoint now, BrokerActions& out)
{
    auto* queue = m_impl->findQueue(service);
    if (queue == nullptr)
        return;
    std::vector<BatchAction> actions;
    queue->ended(call, end, results, now, actions);
    m_impl->carry(actions, now, out);
}

void PieceBroker::pump(const ServiceId& service, TimePoint now, BrokerActions& out)
{
    auto* queue = m_impl->findQueue(service);
    if (queue == nullptr)
        return;
    std::vector<BatchAction> actions;
    queue->pump(now, actions);
    m_impl->carry(actions, now, out);
}

void PieceBroker::onTime(TimePoint now, BrokerActions& out)
{
    std::vector<PieceGroupId> silent;
    for (const auto& it : m_impl->asked) {
        if (it.second.silentAt() <= now)
            silent.push_back(it.first);
    }
    for (const auto id : silent)
        m_impl->takeBack(id, now, out);
    m_impl->beat(now, out);
}

/// Tells every instance that waits for this one that it is there, and how its queues stand.
void PieceBroker::Impl::beat(TimePoint now, BrokerActions& out)
{
    if (now - beatAt < heartbeatPeriod)
        return;
    beatAt = now;
    std::map<std::pair<InstanceId, ServiceId>, PieceGroupId> waiting;
    for (const auto& it : queued) {
        if (!it.second.asker.empty())
            waiting[{ it.second.asker, it.second.service }] = it.second.theirs;
    }
    for (const auto& [asker, group] : waiting) {
        if (const auto* queue = findQueue(asker.second))
            out.emplace_back(TellInstance { asker.first, PiecesTaken { group, waitsOf(*queue, 1, now) } });
    }
}

TimePoint PieceBroker::nextTime() const
{
    auto next = TimePoint::max();
    for (const auto& it : m_impl->asked)
        next = std::min(next, it.second.silentAt());
    if (!m_impl->queued.empty())
        next = std::min(next, m_impl->beatAt + heartbeatPeriod);
    return next;
}

Duration PieceBroker::expectedWait(
    const ServiceId& service, std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const
{
    const auto* queue = m_impl->findQueue(service);
    if (queue != nullptr && ownerOf(service, now) == m_impl->self)
        return queue->expectedWait(priority, late, pieces, now);
    const auto told = m_impl->told.find(service);
    if (told == m_impl->told.end() || now - told->second.at > toldLife)
        return {};
    return late ? told->second.waits.late : told->second.waits.timely.at(toldIndex(priority));
}

} // namespace foxtailwheel::serving
