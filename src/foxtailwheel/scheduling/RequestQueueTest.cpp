#include "foxtailwheel/scheduling/RequestQueue.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace foxtailwheel::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

} // namespace

// When a few servers become free, requests that polled each for themselves were sent in no order.
Test(RequestQueue, ordersByPriorityThenTimelinessThenTarget)
{
    RequestQueue queue;
    queue.add({ 1, 2, start + 100ms, start + 5s });
    queue.add({ 2, 0, start + 900ms, start + 5s });
    queue.add({ 3, 0, start - 100ms, start + 5s });
    queue.add({ 4, 0, start + 500ms, start + 5s });
    cr_assert(queue.order(start) == (std::vector<std::uint64_t> { 4, 2, 3, 1 }));
    // Request 4 has missed its target in the meantime.
    cr_assert(queue.order(start + 600ms) == (std::vector<std::uint64_t> { 2, 3, 4, 1 }));
}

// A request that can't be answered any more must not wait until its deadline.
Test(RequestQueue, requestIsTooLateOnceItCannotBeAnswered)
{
    RequestQueue queue;
    queue.add({ 1, 0, start + 1s, start + 2s });
    cr_assert(!queue.isTooLate(1, start + 2s));
    cr_assert(queue.isTooLate(1, start + 2001ms));
    queue.remove(1);
    cr_assert(!queue.isTooLate(1, start + 3s));
    cr_assert(queue.empty());
}
