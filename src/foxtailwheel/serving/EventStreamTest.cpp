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
