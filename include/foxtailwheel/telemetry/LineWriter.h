#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/limits/TokenBucket.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailwheel::telemetry {

/// @brief Writes lines to a descriptor without ever waiting for its reader.
///
/// Lines gather and are written in pieces that a pipe takes whole. While the reader stalls they are held up to a bound;
/// beyond it they are dropped and counted, and a line tells how many as soon as there is room. Thread-safe.
class LineWriter {
public:
    /// @param fd Descriptor to write to; stays open.
    /// @param mostHeld Most bytes held for a reader that stalls.
    LineWriter(int fd, std::size_t mostHeld);

    /// @brief Adds a line without its line end; writes when enough has gathered.
    void add(std::string_view line);
    /// @brief Writes what is held, as far as the reader takes it.
    void flush();
    /// @brief Lines dropped so far.
    std::uint64_t dropped() const;

private:
    void write();
    void tellDropped();

    mutable std::mutex m_mutex;
    int m_fd;
    std::size_t m_mostHeld;
    std::string m_held;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_untold = 0;
};

/// @brief Bounds the lines of each kind: a burst, and a rate after it. Not thread-safe.
class LineBudget {
public:
    /// @param perSecond Lines of one event.
    /// @param burst Lines of one event at once.
    LineBudget(double perSecond, double burst);

    /// @brief True where a line of `event` may be written now.
    bool take(std::string_view event, TimePoint now);
    /// @brief Lines withheld since the last call, by event.
    std::map<std::string, std::uint64_t> drainWithheld();

private:
    struct Event {
        limits::TokenBucket bucket;
        std::uint64_t withheld = 0;
    };

    double m_perSecond;
    double m_burst;
    std::map<std::string, Event, std::less<>> m_events;
};

} // namespace foxtailwheel::telemetry
