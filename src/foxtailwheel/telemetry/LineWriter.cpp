#include "foxtailwheel/telemetry/LineWriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace foxtailwheel::telemetry {

namespace {

    /// POSIX guarantees that a write of this size does not block on a pipe that polls as writable.
    constexpr std::size_t maxWriteBytes = PIPE_BUF;

    bool isWritable(int fd)
    {
        pollfd poll { fd, POLLOUT, 0 };
        return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
    }

} // namespace

LineWriter::LineWriter(int fd, std::size_t maxBufferedBytes)
    : m_fd(fd)
    , m_maxBufferedBytes(maxBufferedBytes)
{
}

void LineWriter::add(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() + 1 > m_maxBufferedBytes)
        writeBuffer();
    if (m_buffer.size() + line.size() + 1 > m_maxBufferedBytes) {
        ++m_dropped;
        ++m_unreportedDrops;
        return;
    }
    appendDropNotice();
    m_buffer.append(line);
    m_buffer.push_back('\n');
    if (m_buffer.size() >= maxWriteBytes)
        writeBuffer();
}

void LineWriter::flush()
{
    const std::lock_guard lock(m_mutex);
    writeBuffer();
    appendDropNotice();
}

/// Appends a line with the number of lines that were dropped at this position, if there is space for it.
void LineWriter::appendDropNotice()
{
    const auto line = "event=lines_dropped count=" + std::to_string(m_unreportedDrops) + "\n";
    if (m_unreportedDrops == 0 || m_buffer.size() + line.size() > m_maxBufferedBytes)
        return;
    m_buffer.append(line);
    m_unreportedDrops = 0;
}

void LineWriter::writeBuffer()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && isWritable(m_fd)) {
        const auto n = ::write(m_fd, m_buffer.data() + written, std::min(maxWriteBytes, m_buffer.size() - written));
        if (n > 0) {
            written += static_cast<std::size_t>(n);
        } else if (errno != EINTR) {
            // For example, the reader has closed its end. There is no other channel to report the error on.
            m_dropped += static_cast<std::uint64_t>(
                std::count(m_buffer.begin() + static_cast<std::ptrdiff_t>(written), m_buffer.end(), '\n'));
            written = m_buffer.size();
        }
    }
    m_buffer.erase(0, written);
}

std::uint64_t LineWriter::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

LogRateLimiter::LogRateLimiter(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
{
}

bool LogRateLimiter::tryAcquire(std::string_view event, TimePoint now)
{
    auto it = m_events.find(event);
    if (it == m_events.end())
        it = m_events.emplace(std::string(event), EventState { { m_perSecond, m_burst, now }, 0 }).first;
    if (it->second.bucket.tryAcquire(1, now))
        return true;
    ++it->second.suppressed;
    return false;
}

std::map<std::string, std::uint64_t> LogRateLimiter::drainSuppressedCounts()
{
    std::map<std::string, std::uint64_t> suppressed;
    for (auto& it : m_events) {
        if (it.second.suppressed > 0)
            suppressed.emplace(it.first, std::exchange(it.second.suppressed, 0));
    }
    return suppressed;
}

} // namespace foxtailwheel::telemetry
