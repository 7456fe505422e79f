#include "foxtailwheel/base/Clock.h"

#include <ctime>

namespace foxtailwheel {

namespace {

    class SystemClock final : public Clock {
    public:
        /// Uses CLOCK_BOOTTIME, which includes the time that the machine is suspended, unlike
        /// `std::chrono::steady_clock`: leases, deadlines and the age of credentials keep running during a suspend.
        TimePoint now() const override
        {
            timespec time {};
            clock_gettime(CLOCK_BOOTTIME, &time);
            return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
        }
        WallTime wallNow() const override
        {
            return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
        }
    };

} // namespace

std::unique_ptr<Clock> systemClock()
{
    return std::make_unique<SystemClock>();
}

WallTime ManualClock::wallNow() const
{
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
}

} // namespace foxtailwheel
