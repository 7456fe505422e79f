#include "foxtailwheel/control/CrashRecordRows.h"

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/serving/CrashingParts.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

Test(CrashRecordRows, encodedRecordIsDecoded)
{
    const serving::CrashRecord record { serving::PromptPartId(7), BackendServerId("i/1"), 2,
        WallTime(1759000000000ms) };
    const auto rows = control::encodeCrashRecords({ { record }, {} });
    const auto decoded = control::decodeCrashRecord(rows.at(0).key, *rows[0].value);
    cr_assert(decoded.has_value());
    cr_assert(decoded->part == record.part && decoded->server == record.server && decoded->number == record.number
        && decoded->at == record.at);
}

// Another writer's row led to arithmetic out of range.
Test(CrashRecordRows, oddRecordIsRejected)
{
    for (const std::string key : { "", "7", "7/2", "7/2/", "/2/i", "-7/2/i", "7/-2/i", "7/4294967296/i",
             "18446744073709551616/2/i", "7 /2/i", "7.0/2/i" })
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
    parts.blockedFor({ { serving::PromptPartId(7), 1 }, { serving::PromptPartId(8), 1 } }, TimePoint(1h));
}
