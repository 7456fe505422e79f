#include "foxtailwheel/control/ClaimCleaner.h"

#include "foxtailwheel/control/Claim.h"

namespace foxtailwheel::control {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t pageRows = 500;
    constexpr Duration pagePeriod = 2s;
    /// Pause after the last page.
    constexpr Duration roundPeriod = 10min;

} // namespace

std::optional<ClaimCleaner::Page> ClaimCleaner::duePage(TimePoint now)
{
    if (m_waiting || now < m_dueAt)
        return std::nullopt;
    m_waiting = true;
    return Page { "claim/", m_after, pageRows };
}

std::optional<store::Transaction> ClaimCleaner::onPage(
    const store::ReadResult& result, TimePoint now, WallTime calendar)
{
    m_waiting = false;
    m_dueAt = now + pagePeriod;
    if (!result.answered)
        return std::nullopt;
    const bool last = result.rows.size() < pageRows;
    m_after = last ? std::string() : result.rows.back().key;
    if (last)
        m_dueAt = now + roundPeriod;
    store::Transaction transaction;
    for (const auto& it : result.rows) {
        const auto row = decodeClaimRow(it.value);
        if (!row || calendar < row->keptUntil)
            continue;
        transaction.conditions.push_back({ it.key, it.version });
        transaction.writes.push_back({ it.key, std::nullopt });
    }
    if (transaction.writes.empty())
        return std::nullopt;
    m_deleted += transaction.writes.size();
    return transaction;
}

} // namespace foxtailwheel::control
