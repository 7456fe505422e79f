#include "foxtailwheel/control/RowOutbox.h"

#include <algorithm>
#include <map>
#include <utility>

namespace foxtailwheel::control {

struct RowOutbox::Impl : std::enable_shared_from_this<RowOutbox::Impl> {
    Impl(store::RowWriter& w, const Clock& c, RowOutboxOptions o, RunAfter a)
        : writer(w)
        , clock(c)
        , options(std::move(o))
        , runAfter(std::move(a))
    {
    }

    /// An acknowledged row.
    struct KeptRow {
        std::optional<std::string> value;
        TimePoint at;
    };

    void writeNext();
    void keep(const store::FeedRow& row);
    void removeExpired();
    void onWritten(const std::vector<store::FeedRow>& rows, bool acknowledged);

    store::RowWriter& writer;
    const Clock& clock;
    RowOutboxOptions options;
    RunAfter runAfter;
    std::map<std::string, std::optional<std::string>> pending;
    std::map<std::string, KeptRow> kept;
    bool busy = false; ///< A write is in progress or scheduled.
};

void RowOutbox::Impl::writeNext()
{
    busy = !pending.empty();
    if (!busy)
        return;
    std::vector<store::FeedRow> rows;
    for (auto it = pending.begin(); it != pending.end() && rows.size() < options.maxRows; ++it)
        rows.push_back({ it->first, it->second });
    writer.write(
        options.table, rows, clock.now() + options.timeout, [weak = weak_from_this(), rows](bool acknowledged) {
            if (const auto self = weak.lock())
                self->onWritten(rows, acknowledged);
        });
}

void RowOutbox::Impl::keep(const store::FeedRow& row)
{
    kept[row.key] = { row.value, clock.now() };
    if (kept.size() > options.maxKeptRows)
        kept.erase(std::min_element(
            kept.begin(), kept.end(), [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

void RowOutbox::Impl::removeExpired()
{
    std::erase_if(kept, [this](const auto& it) { return clock.now() - it.second.at > options.keepTime; });
}

void RowOutbox::Impl::onWritten(const std::vector<store::FeedRow>& rows, bool acknowledged)
{
    if (acknowledged) {
        removeExpired();
        for (const auto& it : rows) {
            keep(it);
            const auto row = pending.find(it.key);
            if (row != pending.end() && row->second == it.value)
                pending.erase(row);
        }
        writeNext();
        return;
    }
    runAfter(options.retryDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->writeNext();
    });
}

RowOutbox::RowOutbox(store::RowWriter& writer, const Clock& clock, RowOutboxOptions options, RunAfter runAfter)
    : m_impl(std::make_shared<Impl>(writer, clock, std::move(options), std::move(runAfter)))
{
}

RowOutbox::~RowOutbox() = default;

void RowOutbox::add(std::vector<store::FeedRow> rows)
{
    for (auto& it : rows)
        m_impl->pending[it.key] = std::move(it.value);
    if (!m_impl->busy)
        m_impl->writeNext();
}

void RowOutbox::writeAgain()
{
    m_impl->removeExpired();
    for (const auto& [key, row] : m_impl->kept)
        m_impl->pending.emplace(key, row.value);
    if (!m_impl->busy)
        m_impl->writeNext();
}

std::size_t RowOutbox::pendingRows() const
{
    return m_impl->pending.size();
}

} // namespace foxtailwheel::control
