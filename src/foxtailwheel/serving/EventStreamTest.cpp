#include "foxtailwheel/serving/EventStream.h"

#include <criterion/criterion.h>

using foxtailwheel::serving::EventSplitter;

Test(EventSplitter, eventsDoNotDependOnChunkBoundaries)
{
    const std::string body = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid: 7\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= body.size(); ++cut) {
        EventSplitter splitter;
        auto events = splitter.feed(body.substr(0, cut));
        for (auto& it : splitter.feed(body.substr(cut)))
            events.push_back(it);
        cr_assert_eq(events.size(), 3);
        cr_assert_eq(*events[0].id, 1);
        cr_assert_eq(*events[1].id, 2);
        cr_assert_eq(*events[2].id, 7);
        cr_assert_eq(events[0].bytes + events[1].bytes + events[2].bytes, body);
        cr_assert(!splitter.hasPartialEvent());
    }
}

Test(EventSplitter, incompleteEventIsBuffered)
{
    EventSplitter splitter;
    cr_assert_eq(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n").size(), 1);
    cr_assert(splitter.hasPartialEvent());
}

Test(EventSplitter, nonNumericIdIsIgnored)
{
    EventSplitter splitter;
    const auto events = splitter.feed("id: x\ndata: a\n\n");
    cr_assert_eq(events.size(), 1);
    cr_assert(!events[0].id);
}

// Events whose ids only begin with a number had the same one, and all but the first were taken for repeated.
Test(EventSplitter, idThatOnlyBeginsWithANumberIsIgnored)
{
    for (const std::string id : { "1a", "1 2", "1-0", "18446744073709551616" }) {
        EventSplitter splitter;
        const auto events = splitter.feed("id: " + id + "\r\ndata: a\r\n\r\n");
        cr_assert(events.size() == 1 && !events[0].id, "%s", id.c_str());
    }
}

Test(EventSplitter, blankLineIsFoundAcrossChunksOfOneByte)
{
    EventSplitter splitter;
    std::size_t events = 0;
    for (const char it : std::string("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"))
        events += splitter.feed({ &it, 1 }).size();
    cr_assert_eq(events, 3);
    cr_assert(!splitter.hasPartialEvent());
}

Test(EventSplitter, commentsAreNotEventsWithFields)
{
    EventSplitter splitter;
    const auto events = splitter.feed(": ping\n\ndata: a\n\n");
    cr_assert_eq(events.back().bytes, "data: a\n\n");
    cr_assert(events.back().hasFields);
    cr_assert(!events.front().hasFields);
}

Test(EventSplitter, endlessEventIsNotKept)
{
    EventSplitter splitter(64U << 10U);
    const std::string line = "data: x\n";
    std::string chunk;
    while (chunk.size() < (16U << 10U))
        chunk += line;
    for (int i = 0; i < 512; ++i) {
        cr_assert(splitter.feed(chunk).empty());
        cr_assert_leq(splitter.partialBytes(), 64U << 10U);
    }
    cr_assert(splitter.isOversized());
    cr_assert(splitter.feed("\n\ndata: late\n\n").empty(), "no event follows an oversized one");
}

Test(EventSplitter, workIsLinearInTheBytes)
{
    // 8 MB within one event, in chunks of one line, takes a fraction of a second; with quadratic work it takes hours.
    EventSplitter splitter(16U << 20U);
    for (std::size_t i = 0; i < (8U << 20U) / 8; ++i)
        cr_assert(splitter.feed("data: x\n").empty());
    cr_assert_eq(splitter.feed("\n").size(), 1);
}
