#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/limits/TokenBucket.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailwheel::telemetry {

/// @brief Writes lines to a file descriptor without ever blocking on its reader.
///
/// Lines are buffered and written in chunks that a pipe accepts without blocking. While the reader stalls, lines are
/// buffered up to a limit; further lines are dropped and counted, and a line with their number is written as soon as
/// the buffer has space again. Thread-safe.
class LineWriter {
public:
    /// @param fd Descriptor to write to; not owned, and not closed by the destructor.
    /// @param maxBufferedBytes Maximum number of bytes buffered while the reader stalls.
    LineWriter(int fd, std::size_t maxBufferedBytes);

    /// @brief Appends a line, given without its line terminator; writes once a full chunk is buffered.
    void add(std::string_view line);
    /// @brief Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    /// @brief Number of lines dropped so far.
    std::uint64_t droppedLines() const;

private:
    void writeBuffer();
    void appendDropNotice();

    mutable std::mutex m_mutex;
    int m_fd;
    std::size_t m_maxBufferedBytes;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
};

/// @brief Rate limiter for log lines with a token bucket for each event name. Not thread-safe.
class LogRateLimiter {
public:
    /// @param perSecond Sustained number of lines of one event per second.
    /// @param burst Number of lines of one event that may be written at once.
    LogRateLimiter(double perSecond, double burst);

    /// @brief Returns true and takes a token if a line of `event` may be written now; otherwise counts it as
    /// suppressed.
    bool tryAcquire(std::string_view event, TimePoint now);
    /// @brief Returns the number of suppressed lines by event and resets the counts.
    std::map<std::string, std::uint64_t> drainSuppressedCounts();

private:
    struct EventState {
        limits::TokenBucket bucket;
        std::uint64_t suppressed = 0;
    };

    double m_perSecond;
    double m_burst;
    std::map<std::string, EventState, std::less<>> m_events;
};

} // namespace foxtailwheel::telemetry
