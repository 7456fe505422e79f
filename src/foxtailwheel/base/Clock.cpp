#include "foxtailwheel/base/Clock.h"

namespace foxtailwheel {

namespace {

    class SystemClock final : public Clock {
    public:
        TimePoint now() const override { return std::chrono::steady_clock::now(); }
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
