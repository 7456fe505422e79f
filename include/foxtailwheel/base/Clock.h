#pragma once

#include "foxtailwheel/base/Units.h"

#include <memory>

namespace foxtailwheel {

/// @brief Source of the current time, injected so that tests can control it.
class Clock {
public:
    virtual ~Clock() = default;
    /// @brief Returns the monotonic time, used for deadlines and leases.
    virtual TimePoint now() const = 0;
    /// @brief Returns the wall-clock time, used for records.
    virtual WallTime wallNow() const = 0;
};

/// @brief Creates a clock that reads the operating system's time.
std::unique_ptr<Clock> systemClock();

/// @brief Test clock whose time changes only through `advance` and `set`.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override;
    /// @brief Advances the time by `d`.
    void advance(Duration d) { m_now += d; }
    /// @brief Sets the monotonic time.
    void set(TimePoint t) { m_now = t; }

private:
    TimePoint m_now {};
};

} // namespace foxtailwheel
