#include "foxtailwheel/control/ClaimCleaner.h"

#include "foxtailwheel/control/Claim.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };
constexpr WallTime now { 1000s };

store::Row makeRow(const std::string& key, WallTime until)
{
    control::ClaimRow row;
    row.token = AttemptToken("t");
    row.progress = control::ClaimProgress::Answered;
    row.deleteAfter = until;
    return { key, control::encodeClaimRow(row), 2 };
}

} // namespace

Test(ClaimCleaner, deletesOnlyExpiredRows)
{
    control::ClaimCleaner cleaner;
    cr_assert(cleaner.nextPage(start).has_value());
    cr_assert(!cleaner.nextPage(start).has_value());
    const auto transaction = cleaner.onPage(
        { true, { makeRow("claim/a", now - 1s), makeRow("claim/b", now + 1s), { "claim/c", "garbled", 1 } } }, start,
        now);
    cr_assert_eq(transaction->writes.size(), 1U);
    cr_assert_eq(transaction->writes.front().key, std::string("claim/a"));
    cr_assert_eq(*transaction->conditions.front().version, 2U);
    cr_assert_eq(cleaner.deleted(), 1U);
}

Test(ClaimCleaner, scansPageByPageAndRestarts)
{
    control::ClaimCleaner cleaner;
    const auto page = cleaner.nextPage(start);
    store::ReadResult full { true, {} };
    for (std::size_t i = 0; i < page->limit; ++i)
        full.rows.push_back(makeRow("claim/" + std::to_string(1000 + i), now + 1s));
    cr_assert(!cleaner.onPage(full, start, now).has_value());
    cr_assert(!cleaner.nextPage(start).has_value());
    const auto next = cleaner.nextPage(start + 3s);
    cr_assert_eq(next->after, full.rows.back().key);
    cleaner.onPage({ true, {} }, start + 3s, now);
    cr_assert(!cleaner.nextPage(start + 6s).has_value());
    cr_assert(cleaner.nextPage(start + 20min)->after.empty());
}

Test(ClaimCleaner, resumesAfterTheTableWasUnavailable)
{
    control::ClaimCleaner cleaner;
    cleaner.nextPage(start);
    cr_assert(!cleaner.onPage({}, start, now).has_value());
    cr_assert(cleaner.nextPage(start + 3s).has_value());
}
