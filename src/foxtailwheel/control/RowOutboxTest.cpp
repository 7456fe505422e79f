#include "foxtailwheel/control/RowOutbox.h"
#include "foxtailwheel/control/CrashRecordRows.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

struct FakeWriter final : store::RowWriter {
    void write(const std::string& /*table*/, const std::vector<store::FeedRow>& rows, TimePoint /*deadline*/,
        std::function<void(bool)> done) override
    {
        writes.push_back(rows);
        respond = std::move(done);
    }

    std::vector<std::vector<store::FeedRow>> writes;
    std::function<void(bool)> respond;
};

struct Fixture {
    ManualClock clock;
    FakeWriter writer;
    std::vector<std::function<void()>> scheduled;
    control::RowOutbox outbox { writer, clock, { "rows" },
        [this](Duration, std::function<void()> work) { scheduled.push_back(std::move(work)); } };
};

} // namespace

Test(RowOutbox, rowsAreWrittenAgainUntilTheyAreAcknowledged)
{
    Fixture fixture;
    fixture.outbox.add({ { "a", "1" } });
    std::exchange(fixture.writer.respond, {})(false);
    cr_assert_eq(fixture.outbox.pendingRows(), 1);
    fixture.scheduled.at(0)();
    cr_assert_eq(fixture.writer.writes.size(), 2);
    std::exchange(fixture.writer.respond, {})(true);
    cr_assert_eq(fixture.outbox.pendingRows(), 0);
}

Test(RowOutbox, rowThatChangesDuringAWriteIsWrittenAfterIt)
{
    Fixture fixture;
    fixture.outbox.add({ { "a", "1" }, { "b", "1" } });
    fixture.outbox.add({ { "a", std::nullopt } });
    cr_assert_eq(fixture.writer.writes.size(), 1, "one write at a time");
    std::exchange(fixture.writer.respond, {})(true);
    cr_assert_eq(fixture.writer.writes.size(), 2);
    cr_assert_eq(fixture.writer.writes[1].size(), 1);
    cr_assert(!fixture.writer.writes[1][0].value);
}

// A store that returned from an older copy had lost crash records for good.
Test(RowOutbox, rowsThatARestoredStoreHasLostAreWrittenAgain)
{
    Fixture fixture;
    fixture.outbox.add({ { "old", "1" } });
    std::exchange(fixture.writer.respond, {})(true);
    fixture.clock.advance(61s);
    fixture.outbox.add({ { "a", "1" }, { "b", std::nullopt } });
    std::exchange(fixture.writer.respond, {})(true);
    fixture.clock.advance(10s);
    fixture.outbox.writeAgain();
    cr_assert_eq(fixture.writer.writes.size(), 3);
    const std::vector<store::FeedRow> lost { { "a", "1" }, { "b", std::nullopt } };
    cr_assert(fixture.writer.writes[2] == lost);
    std::exchange(fixture.writer.respond, {})(true);
    cr_assert_eq(fixture.outbox.pendingRows(), 0);
}

Test(RowOutbox, pendingRowIsNotReplacedByTheOneWrittenBefore)
{
    Fixture fixture;
    fixture.outbox.add({ { "a", "1" } });
    std::exchange(fixture.writer.respond, {})(true);
    fixture.outbox.add({ { "a", "2" } });
    fixture.outbox.writeAgain();
    std::exchange(fixture.writer.respond, {})(false);
    fixture.scheduled.at(0)();
    cr_assert_eq(fixture.writer.writes.back().at(0).value.value(), "2");
}

Test(RowOutbox, memoryOfAcknowledgedRowsIsBounded)
{
    Fixture fixture;
    std::vector<store::FeedRow> rows;
    for (int i = 0; i < 5000; ++i)
        rows.push_back({ std::to_string(i), "1" });
    fixture.outbox.add(rows);
    while (fixture.writer.respond)
        std::exchange(fixture.writer.respond, {})(true);
    fixture.outbox.writeAgain();
    cr_assert_eq(fixture.outbox.pendingRows(), control::RowOutboxOptions().maxKeptRows);
}

Test(RowOutbox, writesAreLimited)
{
    Fixture fixture;
    std::vector<store::FeedRow> rows;
    for (int i = 0; i < 150; ++i)
        rows.push_back({ "k" + std::to_string(i), "1" });
    fixture.outbox.add(rows);
    while (fixture.writer.respond)
        std::exchange(fixture.writer.respond, {})(true);
    cr_assert_eq(fixture.writer.writes.size(), 3);
    cr_assert_eq(fixture.writer.writes[0].size(), 64);
}

Test(CrashRecordRows, recordsAreReadAsTheyWereWritten)
{
    const serving::CrashRecord record { serving::promptPartIdOf(0xfedcba9876543210), BackendServerId("i/7"), 3,
        WallTime(1796420000123ms) };
    const auto rows = control::encodeCrashRecords({ { record }, { record } });
    cr_assert_eq(rows.size(), 2);
    cr_assert(rows[0].value && !rows[1].value);
    cr_assert(control::decodeCrashRecord(rows[0].key, *rows[0].value) == record);
    for (const auto* it : { "", "7", "7/", "7/1", "7/1/", "x/1/s", "7/x/s" })
        cr_assert(!control::decodeCrashRecord(it, "1"), "%s", it);
    cr_assert(!control::decodeCrashRecord(rows[0].key, "x"));
}
