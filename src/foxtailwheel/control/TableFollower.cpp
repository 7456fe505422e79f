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

struct TableFollower::Impl : std::enable_shared_from_this<TableFollower::Impl> {
    Impl(store::Feed& f, const Clock& c, FollowerOptions o, After a, Changed ch)
        : feed(f)
        , clock(c)
        , options(std::move(o))
        , after(std::move(a))
        , changed(std::move(ch))
        , random(options.seed)
    {
    }

    void ask();
    void take(store::FeedAnswer answer, TimePoint sentAt);
    bool merge(std::vector<store::FeedRow> rows);
    void lost();

    store::Feed& feed;
    const Clock& clock;
    FollowerOptions options;
    After after;
    Changed changed;
    Random random;
    FollowedTable table;
    StoreClockBound bound;
    std::uint64_t version = 0;
    bool whole = false; ///< The table was read and its history is unbroken since.
};

void TableFollower::Impl::ask()
{
    const auto now = clock.now();
    auto done = [weak = weak_from_this(), now](store::FeedAnswer answer) {
        if (const auto self = weak.lock())
            self->take(std::move(answer), now);
    };
    if (!whole)
        feed.readAll(options.table, now + options.answerLimit, std::move(done));
    else
        feed.changes(options.table, version, options.wait, now + options.wait + options.answerLimit, std::move(done));
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
    after(options.pause + fromSeconds(toSeconds(options.pause) * random.uniform()), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->ask();
    });
}

void TableFollower::Impl::take(store::FeedAnswer answer, TimePoint sentAt)
{
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
    table.asOf = std::max(table.asOf, bound.observe(sentAt, answer.storeTime));
    const bool rowsChanged = merge(std::move(answer.rows));
    whole = true;
    version = std::max(version, answer.version);
    changed(table, rowsChanged);
    ask();
}

TableFollower::TableFollower(
    store::Feed& feed, const Clock& clock, FollowerOptions options, After after, Changed changed)
    : m_impl(std::make_shared<Impl>(feed, clock, std::move(options), std::move(after), std::move(changed)))
{
}

TableFollower::~TableFollower() = default;

void TableFollower::start()
{
    m_impl->ask();
}

const FollowedTable& TableFollower::table() const
{
    return m_impl->table;
}

} // namespace foxtailwheel::control
