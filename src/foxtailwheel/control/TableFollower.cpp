#include "foxtailwheel/control/TableFollower.h"

#include <utility>

namespace foxtailwheel::control {

TimePoint StoreClockBound::observe(TimePoint sentAt, Duration stamp)
{
    // A stamp that goes back is another clock: a store that was replaced.
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

std::optional<TimePoint> StoreClockBound::observeTold(Duration stamp) const
{
    if (!m_seen || stamp < m_stamp)
        return std::nullopt;
    return m_local + (stamp - m_stamp);
}

struct TableFollower::Impl : std::enable_shared_from_this<TableFollower::Impl> {
    Impl(store::Feed& f, const Clock& c, FollowerOptions o, After a, Changed ch, Tell t)
        : feed(f)
        , clock(c)
        , options(std::move(o))
        , after(std::move(a))
        , changed(std::move(ch))
        , tell(std::move(t))
        , random(options.seed)
    {
    }

    void ask();
    void askLater(Duration delay);
    void goOn(bool changesCame);
    void watch();
    void takeNews(const TableNews& news);
    void take(store::FeedAnswer answer, TimePoint sentAt, std::uint64_t after);
    bool merge(std::vector<store::FeedRow> rows);
    void lost();

    store::Feed& feed;
    const Clock& clock;
    FollowerOptions options;
    After after;
    Changed changed;
    Tell tell;
    Random random;
    FollowedTable table;
    StoreClockBound bound;
    std::uint64_t version = 0;
    bool whole = false; ///< The table was read and its history is unbroken since.
    bool asking = true;
    bool inCall = false; ///< A call, or the pause before one.
    bool watching = false;
    TimePoint heardAt;
};

void TableFollower::Impl::ask()
{
    const auto now = clock.now();
    inCall = true;
    auto done = [weak = weak_from_this(), now, from = version](store::FeedAnswer answer) {
        if (const auto self = weak.lock())
            self->take(std::move(answer), now, from);
    };
    // A follower that is told by another asks only to catch up, so the store need not hold its call.
    // While the store is away it is asked briefly and often, so that its return is seen soon.
    const bool away = !table.available && table.lostAt != TimePoint {};
    const auto wait = asking && !away ? options.wait : Duration {};
    const auto limit = away && whole ? options.probeLimit : options.answerLimit;
    if (!whole)
        feed.readAll(options.table, now + limit, std::move(done));
    else
        feed.changes(options.table, version, wait, now + wait + limit, std::move(done));
}

void TableFollower::Impl::askLater(Duration delay)
{
    inCall = true;
    after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->ask();
    });
}

/// Asks again, or waits for news. Where much changes at once, as when servers start, one call brings many changes.
void TableFollower::Impl::goOn(bool changesCame)
{
    if ((asking || !whole) && changesCame)
        askLater(options.gather);
    else if (asking || !whole)
        ask();
    else
        watch();
}

void TableFollower::Impl::watch()
{
    if (std::exchange(watching, true))
        return;
    after(std::max<Duration>(heardAt + options.silence - clock.now(), Duration {}), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->watching = false;
        if (self->inCall)
            return;
        if (self->asking || self->clock.now() - self->heardAt >= self->options.silence)
            self->ask();
        else
            self->watch();
    });
}

void TableFollower::Impl::takeNews(const TableNews& news)
{
    if (!whole || news.answer.version <= version) {
        // Nothing new in the rows, but the table was as it is here at the store's time.
        if (!whole || news.answer.version < version)
            return;
    } else if (news.after > version) {
        if (!inCall)
            ask();
        return;
    }
    const auto asOf = bound.observeTold(news.answer.storeTime);
    if (!asOf)
        return;
    heardAt = clock.now();
    table.asOf = std::max(table.asOf, *asOf);
    const bool rowsChanged = merge(news.answer.rows);
    version = std::max(version, news.answer.version);
    changed(table, rowsChanged);
}

bool TableFollower::Impl::merge(std::vector<store::FeedRow> rows)
{
    if (!whole) {
        std::map<std::string, std::string> read;
        for (auto& it : rows) {
            if (it.value)
                read[it.key] = std::move(*it.value);
        }
        const bool differs = read != table.rows;
        table.rows = std::move(read);
        return differs;
    }
    for (auto& it : rows) {
        if (it.value)
            table.rows[it.key] = std::move(*it.value);
        else
            table.rows.erase(it.key);
    }
    return !rows.empty();
}

void TableFollower::Impl::lost()
{
    const auto now = clock.now();
    table.lostAt = now;
    if (std::exchange(table.available, false))
        changed(table, false);
    // One that is told by another leaves the probing to that one, and asks only as often as it would without news.
    const auto pause = asking || !whole ? options.pause : options.silence / 2;
    askLater(pause + fromSeconds(toSeconds(pause) * random.uniform()));
}

void TableFollower::Impl::take(store::FeedAnswer answer, TimePoint sentAt, std::uint64_t from)
{
    inCall = false;
    if (answer.end == store::FeedEnd::Unavailable) {
        lost();
        return;
    }
    if (answer.end == store::FeedEnd::HistoryLost) {
        whole = false;
        ask();
        return;
    }
    if (!std::exchange(table.available, true))
        table.regainedAt = clock.now();
    heardAt = clock.now();
    table.asOf = std::max(table.asOf, bound.observe(sentAt, answer.storeTime));
    if (tell && asking && whole)
        tell({ options.table, from, answer });
    const bool rowsChanged = merge(std::move(answer.rows));
    const bool followed = std::exchange(whole, true);
    version = std::max(version, answer.version);
    changed(table, rowsChanged);
    goOn(followed && rowsChanged);
}

TableFollower::TableFollower(
    store::Feed& feed, const Clock& clock, FollowerOptions options, After after, Changed changed, Tell tell)
    : m_impl(
        std::make_shared<Impl>(feed, clock, std::move(options), std::move(after), std::move(changed), std::move(tell)))
{
}

TableFollower::~TableFollower() = default;

void TableFollower::start()
{
    m_impl->ask();
}

void TableFollower::setAsking(bool asking)
{
    if (std::exchange(m_impl->asking, asking) == asking || !asking)
        return;
    if (!m_impl->inCall && m_impl->whole)
        m_impl->ask();
}

void TableFollower::onNews(const TableNews& news)
{
    m_impl->takeNews(news);
}

const FollowedTable& TableFollower::table() const
{
    return m_impl->table;
}

} // namespace foxtailwheel::control
