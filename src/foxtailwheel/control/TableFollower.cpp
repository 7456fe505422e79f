#include "foxtailwheel/control/TableFollower.h"

#include <utility>

namespace foxtailwheel::control {

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
    Impl(store::ChangeFeed& f, const Clock& c, TableFollowerOptions o, RunAfter a, OnChange ch, Publish p)
        : feed(f)
        , clock(c)
        , options(std::move(o))
        , runAfter(std::move(a))
        , onChange(std::move(ch))
        , publish(std::move(p))
        , random(options.seed)
    {
    }

    void poll();
    void pollAfter(Duration delay);
    void scheduleNext(bool hasChanges);
    void watchForSilence();
    void onUpdate(const TableUpdate& update);
    void onResponse(store::FeedResult result, TimePoint sentAt, std::uint64_t baseVersion);
    bool applyRows(std::vector<store::FeedRow> rows);
    void onUnavailable();

    store::ChangeFeed& feed;
    const Clock& clock;
    TableFollowerOptions options;
    RunAfter runAfter;
    OnChange onChange;
    Publish publish;
    Random random;
    TableReplica table;
    StoreClockBound bound;
    std::uint64_t version = 0;
    bool synced = false; ///< The table was read completely and no change was missed since.
    bool polling = true;
    bool callPending = false; ///< A call is in progress or scheduled.
    bool watching = false;
    TimePoint lastUpdateAt;
};

void TableFollower::Impl::poll()
{
    const auto now = clock.now();
    callPending = true;
    auto done = [weak = weak_from_this(), now, baseVersion = version](store::FeedResult result) {
        if (const auto self = weak.lock())
            self->onResponse(std::move(result), now, baseVersion);
    };
    // A follower that does not poll only catches up, so its call does not wait for a change.
    // While the store is unavailable, short calls in quick succession detect its recovery early.
    const bool unavailable = !table.available && table.lastUnavailableAt != TimePoint {};
    const auto wait = polling && !unavailable ? options.maxWait : Duration {};
    const auto timeout = unavailable && synced ? options.probeTimeout : options.responseTimeout;
    if (!synced)
        feed.readAll(options.table, now + timeout, std::move(done));
    else
        feed.waitForChanges(options.table, version, wait, now + wait + timeout, std::move(done));
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
    if ((polling || !synced) && hasChanges)
        pollAfter(options.coalesceDelay);
    else if (polling || !synced)
        poll();
    else
        watchForSilence();
}

void TableFollower::Impl::watchForSilence()
{
    if (std::exchange(watching, true))
        return;
    runAfter(std::max<Duration>(lastUpdateAt + options.silenceTimeout - clock.now(), Duration {}),
        [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->watching = false;
            if (self->callPending)
                return;
            if (self->polling || self->clock.now() - self->lastUpdateAt >= self->options.silenceTimeout)
                self->poll();
            else
                self->watchForSilence();
        });
}

void TableFollower::Impl::onUpdate(const TableUpdate& update)
{
    if (!synced || update.changes.version <= version) {
        // The same version contains no new changes, but confirms that the table was current at the store's time.
        if (!synced || update.changes.version < version)
            return;
    } else if (update.baseVersion > version) {
        if (!callPending)
            poll();
        return;
    }
    const auto asOf = bound.observeForwarded(update.changes.storeTime);
    if (!asOf)
        return;
    lastUpdateAt = clock.now();
    table.asOf = std::max(table.asOf, *asOf);
    const bool rowsChanged = applyRows(update.changes.rows);
    table.forwarded = true;
    version = std::max(version, update.changes.version);
    onChange(table, rowsChanged);
}

bool TableFollower::Impl::applyRows(std::vector<store::FeedRow> rows)
{
    if (!synced) {
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
        onChange(table, false);
    // A follower that does not poll leaves probing to the polling instance, and calls only as often as without updates.
    const auto retryDelay = polling || !synced ? options.retryDelay : options.silenceTimeout / 2;
    pollAfter(retryDelay + fromSeconds(toSeconds(retryDelay) * random.uniform()));
}

void TableFollower::Impl::onResponse(store::FeedResult result, TimePoint sentAt, std::uint64_t baseVersion)
{
    callPending = false;
    if (result.outcome == store::FeedOutcome::Unavailable) {
        onUnavailable();
        return;
    }
    if (result.outcome == store::FeedOutcome::HistoryLost) {
        synced = false;
        poll();
        return;
    }
    if (!std::exchange(table.available, true))
        table.recoveredAt = clock.now();
    lastUpdateAt = clock.now();
    table.asOf = std::max(table.asOf, bound.observe(sentAt, result.storeTime));
    if (publish && polling && synced)
        publish({ options.table, baseVersion, result });
    // An update from another instance may have arrived before this response although the store sent it later.
    const bool outdated = synced && result.version < version;
    const bool rowsChanged = !outdated && applyRows(std::move(result.rows));
    table.forwarded = false;
    const bool wasSynced = std::exchange(synced, true);
    version = std::max(version, result.version);
    onChange(table, rowsChanged);
    scheduleNext(wasSynced && rowsChanged);
}

TableFollower::TableFollower(store::ChangeFeed& feed, const Clock& clock, TableFollowerOptions options,
    RunAfter runAfter, OnChange onChange, Publish publish)
    : m_impl(std::make_shared<Impl>(
        feed, clock, std::move(options), std::move(runAfter), std::move(onChange), std::move(publish)))
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

void TableFollower::onUpdate(const TableUpdate& update)
{
    m_impl->onUpdate(update);
}

const TableReplica& TableFollower::table() const
{
    return m_impl->table;
}

} // namespace foxtailwheel::control
