#include "foxtailwheel/control/CrashRecordRows.h"

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/serving/CrashingParts.h"

#include <charconv>
#include <criterion/criterion.h>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;

Test(CrashRecordRows, encodedRecordIsDecoded)
{
    const serving::CrashRecord record { serving::promptPartIdOf(7), BackendServerId("i/1"), 2,
        WallTime(1759000000000ms) };
    const auto rows = control::encodeCrashRecords({ { record }, {} });
    const auto decoded = control::decodeCrashRecord(rows.at(0).key, *rows[0].value);
    cr_assert(decoded.has_value());
    cr_assert(decoded->part == record.part && decoded->server == record.server && decoded->number == record.number
        && decoded->at == record.at);
}

// A key of a long ID that begins with digits must not be read as another part, by this build or the one before.
Test(CrashRecordRows, partsOfAnyTextAreDecodedWhole)
{
    const std::string longText(300, 'a');
    std::set<std::string> keys;
    for (const std::string text :
        { "7", "07", "1a", "1A", "ffffffffffffffff", "10000000000000000", "12345678901234567890",
            "9c41d07be2a35f689c41d07be2a35f68", "no digits", "", "\xff/1/i", longText.c_str() }) {
        const serving::CrashRecord record { serving::makePromptPartId(text), BackendServerId(std::string(200, 'i')), 2,
            WallTime(1759000000000ms) };
        const auto row = control::encodeCrashRecords({ { record }, {} }).at(0);
        cr_assert_leq(row.key.size(), 200, "%s", text.c_str());
        cr_assert(keys.insert(row.key).second, "%s", text.c_str());
        const auto decoded = control::decodeCrashRecord(row.key, *row.value);
        cr_assert(decoded && decoded->part == record.part && decoded->at == record.at, "%s", text.c_str());
        const bool isNumber = row.key.find_first_not_of("0123456789") == row.key.find('/');
        cr_assert_eq(isNumber, serving::toNumber(record.part).has_value(), "%s", row.key.c_str());
    }
}

// The build before writes numbers in decimal, and reads a value with or without the mark.
Test(CrashRecordRows, rowsOfTheBuildBeforeAreDecoded)
{
    const auto record = control::decodeCrashRecord("2604653665/3/i-7", "1759000000000");
    cr_assert(record && record->part == serving::makePromptPartId("9b3fdc61") && !record->isComplete);
    const auto row = control::encodeCrashRecords({ { *record }, { *record } });
    cr_assert_eq(row.at(0).key, "2604653665/3/i-7");
    cr_assert_eq(row.at(1).key, "2604653665/3/i-7");
    auto complete = *record;
    complete.isComplete = true;
    const auto value = *control::encodeCrashRecords({ { complete }, {} }).at(0).value;
    std::int64_t at = 0;
    std::from_chars(value.data(), value.data() + value.size(), at);
    cr_assert_eq(at, 1759000000000);
    cr_assert(control::decodeCrashRecord("2604653665/3/i-7", value)->isComplete);
}

// Another writer's row led to arithmetic out of range.
Test(CrashRecordRows, oddRecordIsRejected)
{
    for (const std::string key :
        { "", "7", "7/2", "7/2/", "/2/i", "-7/2/i", "7/-2/i", "7/4294967296/i", "18446744073709551616/2/i", "7 /2/i",
            "7.0/2/i", "x7/2/i", "x/2/i", "xyz/2/i", "x07", "x07/", "x07/2/", "xsha256-07/2/i" })
        cr_assert(!control::decodeCrashRecord(key, "1759000000000").has_value(), "%s", key.c_str());
    for (const std::string value :
        { "", "x", "-1", "9223372036854775807", "-9223372036854775808", "9223372036854775808", "1e400", "[[[[" })
        cr_assert(!control::decodeCrashRecord("7/2/i", value).has_value(), "%s", value.c_str());
}

Test(CrashRecordRows, survivesMutatedInput)
{
    Random random(5);
    std::vector<serving::CrashRecord> records;
    for (int i = 0; i < 20000; ++i) {
        std::string key = "7/2/i-1";
        std::string value = "1759000000000";
        for (auto n = 1 + random.below(4); n > 0; --n) {
            auto& text = random.chance(0.5) ? key : value;
            const auto position = random.below(text.size() + 1);
            text.insert(position, 1, random.chance(0.5) ? static_cast<char>(random.below(256)) : '9');
        }
        if (auto record = control::decodeCrashRecord(key, value)) {
            cr_assert(record->at >= WallTime {});
            records.push_back(std::move(*record));
        }
    }
    serving::CrashingParts parts;
    parts.setRecords(records, TimePoint(1h));
    parts.blockedFor({ { serving::promptPartIdOf(7), 1 }, { serving::promptPartIdOf(8), 1 } }, TimePoint(1h));
}
