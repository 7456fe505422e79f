#include "foxtailwheel/control/ClaimCleaner.h"

#include "foxtailwheel/control/Claim.h"

namespace foxtailwheel::control {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t rowsPerPage = 500;
    constexpr Duration pagePeriod = 2s;
    /// Time between the last page of a scan and the first page of the next.
    constexpr Duration scanPeriod = 10min;

} // namespace

std::optional<ClaimCleaner::Page> ClaimCleaner::nextPage(TimePoint now)
{
    if (m_pagePending || now < m_nextPageAt)
        return std::nullopt;
    m_pagePending = true;
    return Page { "claim/", m_after, rowsPerPage };
}

std::optional<store::Transaction> ClaimCleaner::onPage(const store::ReadResult& result, TimePoint now, WallTime wallNow)
{
    m_pagePending = false;
    m_nextPageAt = now + pagePeriod;
    if (!result.succeeded)
        return std::nullopt;
    const bool last = result.rows.size() < rowsPerPage;
    m_after = last ? std::string() : result.rows.back().key;
    if (last)
        m_nextPageAt = now + scanPeriod;
    store::Transaction transaction;
    for (const auto& it : result.rows) {
        const auto row = decodeClaimRow(it.value);
        if (!row || wallNow < row->deleteAfter)
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
