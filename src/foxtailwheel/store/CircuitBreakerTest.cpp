#include "foxtailwheel/store/CircuitBreaker.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

Test(CircuitBreaker, failuresOfOneBurstCountOnceInTheBackoff)
{
    store::CircuitBreaker breaker(64, 1);
    const TimePoint start(1h);
    for (int i = 0; i < 40; ++i)
        cr_assert(breaker.tryAcquire(start));
    for (int i = 0; i < 40; ++i)
        breaker.onCallEnded(false, start + 1ms);
    cr_assert(!breaker.tryAcquire(start + 50ms));
    cr_assert(breaker.tryAcquire(start + 250ms), "the first backoff is at most 200 ms");
}

Test(CircuitBreaker, backoffDoublesWithEachFailedProbe)
{
    store::CircuitBreaker breaker(64, 1);
    TimePoint now(1h);
    for (std::uint32_t i = 0; i < store::CircuitBreaker::consecutiveFailuresToOpen; ++i) {
        cr_assert(breaker.tryAcquire(now));
        breaker.onCallEnded(false, now);
    }
    Duration backoff = 200ms;
    for (int i = 0; i < 4; ++i) {
        cr_assert(!breaker.tryAcquire(now + backoff / 2 - 1ms));
        now += backoff;
        cr_assert(breaker.tryAcquire(now));
        breaker.onCallEnded(false, now);
        backoff *= 2;
    }
}
