#include "foxtailwheel/serving/ReleaseQueue.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

serving::ReleaseResults makeRelease(const std::string& server, std::uint16_t port, const std::string& handle)
{
    return { ServiceId("portal"), { BackendServerId(server), "10.0.0.1", port, {} }, { handle } };
}

} // namespace

Test(ReleaseQueue, releasesForTheSameServerLeaveTogether)
{
    serving::ReleaseQueue queue;
    queue.add(makeRelease("p1", 1, "a"), start);
    queue.add(makeRelease("p2", 2, "b"), start + 1ms);
    queue.add(makeRelease("p1", 1, "c"), start + 4ms);
    const auto notPaused = [](const auto&, const auto&) { return std::nullopt; };
    cr_assert(queue.takeDue(start + 4ms, notPaused).empty());
    const auto due = queue.takeDue(*queue.nextDueAt(), notPaused);
    cr_assert_eq(due.size(), 1);
    cr_assert(due[0].handles == std::vector<std::string>({ "a", "c" }));
    cr_assert_eq(*queue.nextDueAt(), start + 6ms);
}

Test(ReleaseQueue, serverThatAskedForAPauseGetsNoReleasesUntilItsEnd)
{
    serving::ReleaseQueue queue;
    const auto paused = [](const ServiceId&, const BackendServerId& it) -> std::optional<TimePoint> {
        if (it == BackendServerId("p1"))
            return start + 2s;
        return it == BackendServerId("p3") ? std::optional(start + 30s) : std::nullopt;
    };
    queue.add(makeRelease("p1", 1, "a"), start);
    queue.add(makeRelease("p2", 2, "b"), start);
    queue.add(makeRelease("p3", 3, "expires before the end of the pause"), start);
    const auto due = queue.takeDue(start + 10ms, paused);
    cr_assert_eq(due.size(), 1);
    cr_assert_eq(due[0].producer.port, 2, "others are not held back");
    queue.add(makeRelease("p1", 1, "c"), start + 1s);
    cr_assert(queue.takeDue(start + 1900ms, paused).empty());
    cr_assert_eq(*queue.nextDueAt(), start + 2s);
    const auto later = queue.takeDue(start + 2s, [](const auto&, const auto&) { return std::nullopt; });
    cr_assert_eq(later.size(), 1);
    cr_assert_eq(later[0].handles.size(), 2);
    cr_assert(!queue.nextDueAt());
}

// Fails if a release, which is a call as well, goes to a server of a drained zone.
Test(ReleaseQueue, releasesForDrainedZonesAreDropped)
{
    serving::ReleaseQueue queue;
    auto drained = makeRelease("p1", 1, "a");
    drained.producer.zone = AvailabilityZoneId("b");
    queue.add(drained, start);
    queue.add(makeRelease("p2", 2, "b"), start);
    queue.dropIf([](const AvailabilityZoneId& zone) { return zone == AvailabilityZoneId("b"); });
    const auto due = queue.takeDue(start + 1s, [](const auto&, const auto&) { return std::nullopt; });
    cr_assert_eq(due.size(), 1);
    cr_assert_eq(due[0].producer.port, 2);
}
