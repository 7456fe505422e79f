#include "foxtailwheel/control/TableFollower.h"

#include "foxtailwheel/control/RowHistory.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::control {

namespace {

    /// Smaller rows are forwarded as a whole.
    constexpr std::size_t minDeltaRowBytes = 1024;
    /// An answer is worth sending if it makes a copy younger by this much.
    constexpr Duration minAgeGain = std::chrono::milliseconds(100);
    /// Number of times that a delay doubles at most.
    constexpr int maxDoublings = 6;

    std::size_t encodedSize(const store::FeedRow& row)
    {
        return row.key.size() + (row.delta ? row.delta->encodedSize() : row.value ? row.value->size() : 0);
    }

    /// Replaces large rows by their change against `before`, where that is smaller.
    store::FeedResult withDeltas(store::FeedResult result, const std::map<std::string, std::string>& before)
    {
        for (auto& it : result.rows) {
            const auto row = before.find(it.key);
            if (!it.value || it.value->size() < minDeltaRowBytes || row == before.end())
                continue;
            auto delta = makeDelta(row->second, *it.value);
            if (delta.encodedSize() >= it.value->size())
                continue;
            it.delta = std::move(delta);
            it.value.reset();
        }
        return result;
    }

    /// Replaces deltas by the rows that they lead to; empty if one was made for a different row.
    std::optional<std::vector<store::FeedRow>> withoutDeltas(
        std::vector<store::FeedRow> rows, const std::map<std::string, std::string>& before)
    {
        for (auto& it : rows) {
            if (!it.delta)
                continue;
            const auto row = before.find(it.key);
            auto value = row == before.end() ? Result<std::string>(fail(Errc::Conflict, "the row is unknown"))
                                             : applyDelta(row->second, *it.delta);
            if (!value)
                return std::nullopt;
            it.value = std::move(value.value());
            it.delta.reset();
        }
        return rows;
    }

} // namespace

TableUpdate limitUpdate(const TableUpdate& update, std::size_t receivers, std::size_t maxBytes)
{
    std::size_t n = 0;
    for (const auto& it : update.changes.rows)
        n += encodedSize(it);
    if (n * receivers <= maxBytes)
        return update;
    // A receiver of an older version misses the changes up to the base version.
    TableUpdate announcement { update.table, update.changes.version, update.changes, 0, {}, false };
    announcement.changes.rows.clear();
    return announcement;
}

TimePoint StoreClockBound::observe(TimePoint sentAt, Duration stamp)
{
    // A stamp that decreases comes from a different clock, because the store was replaced.
    if (!m_seen || stamp < m_stamp || sentAt - stamp > m_local - m_stamp) {
        m_seen = true;
        m_local = sentAt;
        m_stamp = stamp;
        return sentAt;
    }
    m_local += stamp - m_stamp;
    m_stamp = stamp;
    return m_local;
}

std::optional<TimePoint> StoreClockBound::observeForwarded(Duration stamp) const
{
    if (!m_seen || stamp < m_stamp)
        return std::nullopt;
    return m_local + (stamp - m_stamp);
}

struct TableFollower::Impl : std::enable_shared_from_this<TableFollower::Impl> {
    Impl(store::ChangeFeed& f, const Clock& c, TableFollowerOptions o, RunAfter a, OnChange ch, Publish p, Ask q)
        : feed(f)
        , clock(c)
        , options(std::move(o))
        , runAfter(std::move(a))
        , onChange(std::move(ch))
        , publish(std::move(p))
        , ask(std::move(q))
        , random(options.seed)
    {
    }

    /// What was known when a call to the store began.
    struct CallStart {
        TimePoint sentAt;
        store::StoreEpoch epoch;
        std::uint64_t version = 0;
        bool isCompleteRead = false;
    };

    void poll();
    void pollAfter(Duration delay);
    void scheduleNext(bool hasChanges);
    void watchForSilence();
    void watchAge();
    void askOthers();
    Duration jittered(Duration delay) { return delay + fromSeconds(toSeconds(delay) * random.uniform()); }
    void onUpdate(const TableUpdate& update);
    void onAnswer(const TableUpdate& update);
    std::optional<TableUpdate> answer(const TableRequest& request) const;
    void confirmByPeer(TimePoint asOf);
    void onMissedChanges(std::uint64_t newerVersion);
    void enterEpoch(store::StoreEpoch newEpoch);
    void onResponse(store::FeedResult result, const CallStart& start);
    bool applyRows(std::vector<store::FeedRow> rows, std::uint64_t version, bool isComplete);
    bool replaceRows(std::vector<store::FeedRow> rows, bool isComplete);
    void publishChanges(std::uint64_t baseVersion, store::FeedResult changes) const;
    void onUnavailable();

    store::ChangeFeed& feed;
    const Clock& clock;
    TableFollowerOptions options;
    RunAfter runAfter;
    OnChange onChange;
    Publish publish;
    Ask ask;
    Random random;
    TableReplica table;
    RowHistory history;
    Duration storeTime {}; ///< The store's stamp of the last confirmation of the rows.
    int failures = 0; ///< Own calls in a row that failed.
    std::uint64_t askSequence = 0; ///< Of the last request to other instances.
    TimePoint askedAt;
    int asksInARow = 0; ///< Since the copy was last young.
    bool watchingAge = false;
    StoreClockBound bound;
    store::StoreEpoch epoch; ///< Newest epoch known; that of the rows may be older until the table is read again.
    std::uint64_t announcedVersion = 0; ///< Newest version of this epoch of which another instance knows.
    bool synced = false; ///< The table was read completely and no change was missed since.
    bool polling = true;
    bool callPending = false; ///< A call is in progress or scheduled.
    bool watching = false;
};

void TableFollower::Impl::poll()
{
    const auto now = clock.now();
    callPending = true;
    const CallStart start { now, epoch, table.version, !synced };
    auto done = [weak = weak_from_this(), start](store::FeedResult result) {
        if (const auto self = weak.lock())
            self->onResponse(std::move(result), start);
    };
    // A follower that does not poll only catches up, so its call does not wait for a change.
    // While the store is unavailable, short calls in quick succession detect its recovery early.
    const bool unavailable = !table.available && table.lastUnavailableAt != TimePoint {};
    const auto wait = polling && !unavailable ? options.maxWait : Duration {};
    const auto timeout = unavailable && synced ? options.probeTimeout : options.responseTimeout;
    if (!synced)
        feed.readAll(options.table, now + timeout, std::move(done));
    else
        feed.waitForChanges(options.table, table.version, wait, now + wait + timeout, std::move(done));
}

void TableFollower::Impl::pollAfter(Duration delay)
{
    callPending = true;
    runAfter(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->poll();
    });
}

/// Schedules the next call, or waits for updates. The delay after a change lets one call return many changes, for
/// example when servers start.
void TableFollower::Impl::scheduleNext(bool hasChanges)
{
    const bool outdated = table.version < announcedVersion;
    if (outdated || ((polling || !synced) && hasChanges))
        pollAfter(options.coalesceDelay);
    else if (polling || !synced)
        poll();
    else
        watchForSilence();
}

/// An update that was delayed on its way does not make the copy newer, so the age of the copy decides.
void TableFollower::Impl::watchForSilence()
{
    if (std::exchange(watching, true))
        return;
    runAfter(
        std::max<Duration>(table.asOf + options.silenceTimeout - clock.now(), Duration {}), [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->watching = false;
            if (self->callPending)
                return;
            if (self->polling || self->clock.now() - self->table.asOf >= self->options.silenceTimeout)
                self->poll();
            else
                self->watchForSilence();
        });
}

/// Asks other instances while the copy is old, whatever becomes of the own calls to the store.
void TableFollower::Impl::watchAge()
{
    if (!ask || options.askTimeout == Duration {} || std::exchange(watchingAge, true))
        return;
    const auto delay = asksInARow > 0 ? jittered(options.askDelay * (1 << std::min(asksInARow - 1, 2)))
                                      : table.asOf + options.askTimeout - clock.now();
    runAfter(std::max<Duration>(delay, Duration {}), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->watchingAge = false;
        if (self->clock.now() - self->table.asOf < self->options.askTimeout) {
            self->asksInARow = 0;
        } else {
            ++self->asksInARow;
            self->askOthers();
        }
        self->watchAge();
    });
}

/// A new request makes answers to the last one worthless, so it gets some time.
void TableFollower::Impl::askOthers()
{
    if (!ask || (askSequence > 0 && clock.now() - askedAt < options.askDelay))
        return;
    askedAt = clock.now();
    ask({ options.table, synced ? table.version : 0, epoch, ++askSequence, askedAt - table.asOf });
}

std::optional<TableUpdate> TableFollower::Impl::answer(const TableRequest& request) const
{
    const auto age = clock.now() - table.asOf;
    const bool isBehind = request.epoch < epoch || (request.epoch == epoch && request.version < table.version);
    const bool isOlder = request.epoch == epoch && request.version == table.version && age + minAgeGain < request.age;
    if (!synced || (!isBehind && !isOlder))
        return std::nullopt;
    TableUpdate update { options.table, request.version,
        { store::FeedOutcome::Success, {}, table.version, storeTime, epoch }, request.sequence, age, false };
    auto rows = request.epoch == epoch ? history.since(request.version, table.rows) : std::nullopt;
    if (rows) {
        update.changes.rows = std::move(*rows);
        return update;
    }
    update.complete = true;
    for (const auto& it : table.rows)
        update.changes.rows.push_back({ it.first, it.second });
    return update;
}

/// The answer was made after the request was sent, so the age of the other copy bounds that of this one without any
/// common clock. Answers to earlier requests don't count: they would seem younger than they are.
void TableFollower::Impl::onAnswer(const TableUpdate& update)
{
    const auto& changes = update.changes;
    const bool isOtherEpoch = changes.epoch != epoch;
    if (update.answered != askSequence || changes.epoch < epoch || (isOtherEpoch && !update.complete))
        return;
    if (isOtherEpoch)
        enterEpoch(changes.epoch);
    if (synced && changes.version < table.version)
        return;
    if (!update.complete && (!synced || update.baseVersion > table.version))
        return;
    confirmByPeer(askedAt - std::max<Duration>(update.age, Duration {}));
    if (polling && update.complete)
        publishChanges(
            changes.version, { store::FeedOutcome::Success, {}, changes.version, changes.storeTime, changes.epoch });
    else if (polling)
        publishChanges(table.version, withDeltas(changes, table.rows));
    table.forwarded = applyRows(changes.rows, changes.version, update.complete) || table.forwarded;
    synced = true;
    table.version = changes.version;
    storeTime = changes.storeTime;
    onChange(table);
    watchAge();
}

/// A gap in the confirmations that is long enough for entries to lapse shows that the store was away; otherwise only
/// this instance could not reach it.
void TableFollower::Impl::confirmByPeer(TimePoint asOf)
{
    const bool wasAway = asOf - table.asOf >= options.silenceTimeout;
    if (!table.available && wasAway && table.recoveredAt <= table.lastUnavailableAt)
        table.recoveredAt = clock.now();
    table.confirmedByPeer = true;
    table.asOf = std::max(table.asOf, asOf);
}

void TableFollower::Impl::publishChanges(std::uint64_t baseVersion, store::FeedResult changes) const
{
    if (publish)
        publish({ options.table, baseVersion, std::move(changes), 0, {}, false });
}

/// Changes were missed or not forwarded: they are read from the store, after a call that is already in progress.
void TableFollower::Impl::onMissedChanges(std::uint64_t newerVersion)
{
    announcedVersion = std::max(announcedVersion, newerVersion);
    if (!callPending)
        poll();
    else if (!table.available)
        askOthers();
}

/// The store has returned from an older copy. It gives out versions again, its clock may differ, and rows may be gone,
/// so nothing that was known before can be compared with its responses.
void TableFollower::Impl::enterEpoch(store::StoreEpoch newEpoch)
{
    epoch = newEpoch;
    synced = false;
    announcedVersion = 0;
    bound = {};
    storeTime = {};
    if (table.asOf == TimePoint {})
        return;
    table.lastUnavailableAt = clock.now();
    table.recoveredAt = clock.now();
    if (polling)
        publishChanges(0, { store::FeedOutcome::Success, {}, 0, {}, epoch });
}

void TableFollower::Impl::onUpdate(const TableUpdate& update)
{
    if (update.answered > 0) {
        onAnswer(update);
        return;
    }
    if (update.changes.epoch > epoch) {
        enterEpoch(update.changes.epoch);
        // All members of a zone receive the update at the same time.
        if (!callPending)
            pollAfter(fromSeconds(toSeconds(options.retryDelay) * random.uniform()));
        return;
    }
    if (update.changes.epoch < epoch || update.changes.version < table.version)
        return;
    if (!synced) {
        // The table is being read completely, and the response may be older than the update.
        announcedVersion = std::max(announcedVersion, update.changes.version);
        return;
    }
    // The same version contains no new changes, but confirms that the table was current at the store's time.
    const bool isConfirmation = update.changes.version == table.version;
    const bool hasGap = !isConfirmation && update.baseVersion > table.version;
    auto rows
        = isConfirmation || hasGap ? std::vector<store::FeedRow>() : withoutDeltas(update.changes.rows, table.rows);
    if (hasGap || !rows) {
        onMissedChanges(update.changes.version);
        return;
    }
    const auto asOf = bound.observeForwarded(update.changes.storeTime);
    if (!asOf) {
        if (!isConfirmation)
            onMissedChanges(update.changes.version);
        return;
    }
    confirmByPeer(*asOf);
    storeTime = update.changes.storeTime;
    table.forwarded = applyRows(std::move(*rows), update.changes.version, false) || table.forwarded;
    table.version = update.changes.version;
    onChange(table);
}

/// @return True if the rows have changed.
bool TableFollower::Impl::applyRows(std::vector<store::FeedRow> rows, std::uint64_t version, bool isComplete)
{
    if (isComplete)
        history.restart(version);
    else
        history.add(rows, version);
    const bool changed = replaceRows(std::move(rows), isComplete);
    if (changed || table.revision == 0 || table.epoch != epoch)
        ++table.revision;
    table.epoch = epoch;
    return changed;
}

bool TableFollower::Impl::replaceRows(std::vector<store::FeedRow> rows, bool isComplete)
{
    if (isComplete) {
        std::map<std::string, std::string> read;
        for (auto& it : rows) {
            if (it.value)
                read[it.key] = std::move(*it.value);
        }
        const bool rowsDiffer = read != table.rows;
        table.rows = std::move(read);
        return rowsDiffer;
    }
    for (auto& it : rows) {
        if (it.value)
            table.rows[it.key] = std::move(*it.value);
        else
            table.rows.erase(it.key);
    }
    return !rows.empty();
}

void TableFollower::Impl::onUnavailable()
{
    const auto now = clock.now();
    table.lastUnavailableAt = now;
    if (std::exchange(table.available, false))
        onChange(table);
    askOthers();
    // One lost packet should not cost the time that a store that is away is spared. A follower that does not poll
    // leaves probing to the polling instance, and calls in the end only as often as without updates.
    const auto longest = polling || !synced ? options.retryDelay : options.silenceTimeout / 2;
    const auto delay = options.firstRetryDelay * (1 << std::min(failures++, maxDoublings));
    pollAfter(jittered(std::min<Duration>(delay, longest)));
}

void TableFollower::Impl::onResponse(store::FeedResult result, const CallStart& start)
{
    callPending = false;
    if (result.outcome == store::FeedOutcome::Unavailable) {
        if (result.epoch > epoch)
            enterEpoch(result.epoch);
        onUnavailable();
        return;
    }
    // A response without an epoch says nothing about it.
    if (result.epoch == store::StoreEpoch())
        result.epoch = start.epoch;
    // The response was delayed: the call began before the newer epoch was known.
    if (result.epoch < epoch && start.epoch < epoch) {
        poll();
        return;
    }
    if (result.epoch != epoch)
        enterEpoch(result.epoch);
    // Changes follow from the rows at the start of the call, so they are of use only if these still count.
    const bool isBaseLost = !start.isCompleteRead && (!synced || result.version < start.version);
    if (result.outcome == store::FeedOutcome::HistoryLost || isBaseLost) {
        synced = false;
        poll();
        return;
    }
    failures = 0;
    if (!std::exchange(table.available, true))
        table.recoveredAt = clock.now();
    table.confirmedByPeer = false;
    table.asOf = std::max(table.asOf, bound.observe(start.sentAt, result.storeTime));
    storeTime = std::max(storeTime, result.storeTime);
    if (polling && !start.isCompleteRead)
        publishChanges(start.version, withDeltas(result, table.rows));
    // An update from another instance may have arrived before this response although the store sent it later.
    const bool outdated = synced && result.version < table.version;
    const bool rowsChanged = !outdated && applyRows(std::move(result.rows), result.version, start.isCompleteRead);
    table.forwarded = !rowsChanged && table.forwarded;
    const bool wasSynced = std::exchange(synced, true);
    // What changed since the table was last known is not in a complete read, so the others read it themselves.
    if (polling && start.isCompleteRead && rowsChanged && table.revision > 1)
        publishChanges(result.version, { store::FeedOutcome::Success, {}, result.version, result.storeTime, epoch });
    // Versions may be lower than before after a complete read.
    table.version = wasSynced ? std::max(table.version, result.version) : result.version;
    onChange(table);
    watchAge();
    scheduleNext(wasSynced && rowsChanged);
}

TableFollower::TableFollower(store::ChangeFeed& feed, const Clock& clock, TableFollowerOptions options,
    RunAfter runAfter, OnChange onChange, Publish publish, Ask ask)
    : m_impl(std::make_shared<Impl>(
        feed, clock, std::move(options), std::move(runAfter), std::move(onChange), std::move(publish), std::move(ask)))
{
}

TableFollower::~TableFollower() = default;

void TableFollower::start()
{
    m_impl->poll();
}

void TableFollower::setPolling(bool polling)
{
    if (std::exchange(m_impl->polling, polling) == polling || !polling)
        return;
    if (!m_impl->callPending && m_impl->synced)
        m_impl->poll();
}

void TableFollower::catchUp()
{
    if (!m_impl->callPending)
        m_impl->poll();
}

void TableFollower::onUpdate(const TableUpdate& update)
{
    m_impl->onUpdate(update);
}

std::optional<TableUpdate> TableFollower::answer(const TableRequest& request) const
{
    return m_impl->answer(request);
}

const TableReplica& TableFollower::table() const
{
    return m_impl->table;
}

const std::string& TableFollower::tableName() const
{
    return m_impl->options.table;
}

} // namespace foxtailwheel::control
