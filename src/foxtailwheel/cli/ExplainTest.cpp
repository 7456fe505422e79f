#include "foxtailwheel/cli/Explain.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace foxtailwheel::cli;

Test(Explain, mergesEntriesOfSeveralProcessesByTime)
{
    std::istringstream a(
        "time=2026-12-04T10:00:00.010Z level=INFO event=request_accepted request=r1 route=x\n"
        "time=2026-12-04T10:00:00.020Z level=INFO event=request_accepted request=r12 route=x\n"
        "time=2026-12-04T10:00:00.900Z level=INFO event=request_refused request=r1 reason=overloaded\n");
    std::istringstream b(
        "  0.5 front-2 time=2026-12-04T10:00:00.300Z level=INFO event=stage_done request=r1 stage=0\n");
    const auto timeline = collectTimeline("r1", { { "a.log", &a }, { "b.log", &b } });
    cr_assert_eq(timeline.entries.size(), 3);
    cr_assert_eq(timeline.entries[0].event, "request_accepted");
    cr_assert_eq(timeline.entries[0].process, "a.log");
    cr_assert_eq(timeline.entries[1].process, "front-2");
    cr_assert_eq(timeline.entries[2].fields, "request=r1 reason=overloaded");
    cr_assert_eq(timeline.missingLines, 0);
}

Test(Explain, countsLinesMissingDuringTheRequest)
{
    std::istringstream a("time=2026-12-04T10:00:00.010Z level=INFO event=request_accepted request=r1\n"
                         "event=lines_dropped count=7\n"
                         "time=2026-12-04T10:00:00.500Z level=WARN event=lines_withheld of=batch_ended count=5\n"
                         "time=2026-12-04T10:00:00.900Z level=INFO event=request_answered request=r1\n"
                         "time=2026-12-04T10:00:02.000Z level=WARN event=lines_withheld of=batch_ended count=9\n");
    cr_assert_eq(collectTimeline("r1", { { "a", &a } }).missingLines, 12);
}

Test(Explain, showsWhichServersLeaveOrAskedForAPause)
{
    std::istringstream a("time=01 event=server_leaving server=s1 source=response\n"
                         "time=02 event=server_paused server=s2 service=x asked_ms=400 pause_ms=400\n"
                         "time=03 event=server_paused server=s2 service=x asked_ms=900 pause_ms=900\n"
                         "time=04 event=request_sent request=r1 server=s1\n"
                         "time=05 event=server_paused server=s3 service=y asked_ms=400 pause_ms=400\n"
                         "time=06 event=request_refused request=r1 reason=servers_paused service=x\n"
                         "time=07 event=server_paused server=s2 service=x asked_ms=100 pause_ms=100\n");
    std::istringstream b("time=05 event=server_leaving server=s1 source=instance\n");
    std::string times;
    for (const auto& it : collectTimeline("r1", { { "a", &a }, { "b", &b } }).entries)
        times += it.process + it.time + " ";
    cr_assert_eq(times, "a01 a03 a04 a06 ");
}

Test(Explain, unknownRequestHasNoEntries)
{
    std::istringstream a("time=1 event=request_accepted request=r1\n");
    cr_assert(collectTimeline("r2", { { "a", &a } }).entries.empty());
}
