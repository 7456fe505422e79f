#include "foxtailwheel/serving/ColdStarts.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
constexpr WallTime wall { 1000h };
const BackendServerId id("s");

AnnouncedServer entry(std::uint64_t sequence, Duration cold, WallTime startedAt = {})
{
    AnnouncedServer out;
    out.server.id = id;
    out.startedAt = startedAt;
    out.sequence = sequence;
    out.coldRemaining = cold;
    return out;
}

} // namespace

// Fails if a server is not cold for what its entry says, or a newer entry of the same process does not replace it.
Test(ColdStarts, entrySaysForHowLongAServerIsCold)
{
    ColdStarts starts;
    starts.update({ entry(1, 8s) }, start, wall);
    cr_assert_eq(starts.coldUntil(id, 30s), start + 8s);
    starts.update({ entry(1, 8s) }, start + 5s, wall + 5s);
    cr_assert_eq(starts.coldUntil(id, 30s), start + 8s, "the same entry again");
    starts.update({ entry(2, 1s) }, start + 6s, wall + 6s);
    cr_assert_eq(starts.coldUntil(id, 30s), start + 7s);
}

// Fails if a start that the entry does not explain is missed, or all servers count as cold when this instance starts.
Test(ColdStarts, newProcessIsColdAlthoughItsEntryDoesNotSaySo)
{
    ColdStarts starts;
    starts.update({ entry(1, 0s, wall - 40s) }, start, wall);
    cr_assert_leq(starts.coldUntil(id, 30s), start, "known when this instance started");
    cr_assert_eq(starts.coldUntil(id, 60s), start + 20s, "started shortly before");
    starts.update({ entry(1, 0s, wall + 10s) }, start + 11s, wall + 12s);
    cr_assert_eq(starts.coldUntil(id, 30s), start + 41s, "later start");
    starts.update({ entry(1, 0s, wall + 11s) }, start + 100s, wall + 100s);
    cr_assert_eq(starts.coldUntil(id, 30s), start + 130s, "the clock of the server is slow");
    ColdStarts others;
    others.update({}, start, wall);
    others.update({ entry(1, 0s) }, start + 1s, wall + 1s);
    cr_assert_eq(others.coldUntil(id, 30s), start + 31s, "new id");
}

// Fails if servers whose entries were lost for a while, or that started long ago, are held back as cold.
Test(ColdStarts, entryThatIsThereAgainIsNoStart)
{
    ColdStarts starts;
    starts.update({ entry(1, 0s) }, start, wall);
    starts.update({}, start + 10s, wall + 10s);
    starts.update({ entry(9, 0s) }, start + 20s, wall + 20s);
    cr_assert_leq(starts.coldUntil(id, 30s), start + 20s);
    ColdStarts others;
    others.update({}, start, wall);
    others.update({ entry(1, 0s, wall - 1h) }, start + 1s, wall + 1s);
    cr_assert_leq(others.coldUntil(id, 30s), start + 1s, "it has run for an hour");
}
