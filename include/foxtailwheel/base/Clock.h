#pragma once

#include "foxtailwheel/base/Units.h"

#include <memory>

namespace foxtailwheel {

/// @brief Source of the current time, passed in wherever time is read.
class Clock {
public:
    virtual ~Clock() = default;
    /// @brief Monotonic time, for deadlines and leases.
    virtual TimePoint now() const = 0;
    /// @brief Calendar time, for records.
    virtual WallTime wallNow() const = 0;
};

/// @brief Clock of the operating system.
std::unique_ptr<Clock> systemClock();

/// @brief Clock that stands still until it is moved.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override;
    /// @brief Moves the time forward by `d`.
    void advance(Duration d) { m_now += d; }
    /// @brief Sets the monotonic time.
    void set(TimePoint t) { m_now = t; }

private:
    TimePoint m_now {};
};

} // namespace foxtailwheel
