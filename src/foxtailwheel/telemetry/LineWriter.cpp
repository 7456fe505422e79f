#include "foxtailwheel/telemetry/LineWriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace foxtailwheel::telemetry {

namespace {

    /// A pipe that can be written to takes this much at once without blocking (POSIX).
    constexpr std::size_t pieceBytes = PIPE_BUF;

    bool writable(int fd)
    {
        pollfd poll { fd, POLLOUT, 0 };
        return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
    }

} // namespace

LineWriter::LineWriter(int fd, std::size_t mostHeld)
    : m_fd(fd)
    , m_mostHeld(mostHeld)
{
}

void LineWriter::add(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_held.size() + line.size() + 1 > m_mostHeld)
        write();
    if (m_held.size() + line.size() + 1 > m_mostHeld) {
        ++m_dropped;
        ++m_untold;
        return;
    }
    tellDropped();
    m_held.append(line);
    m_held.push_back('\n');
    if (m_held.size() >= pieceBytes)
        write();
}

void LineWriter::flush()
{
    const std::lock_guard lock(m_mutex);
    write();
    tellDropped();
}

/// Says how many lines are missing at this place.
void LineWriter::tellDropped()
{
    const auto line = "event=lines_dropped count=" + std::to_string(m_untold) + "\n";
    if (m_untold == 0 || m_held.size() + line.size() > m_mostHeld)
        return;
    m_held.append(line);
    m_untold = 0;
}

void LineWriter::write()
{
    std::size_t taken = 0;
    while (taken < m_held.size() && writable(m_fd)) {
        const auto n = ::write(m_fd, m_held.data() + taken, std::min(pieceBytes, m_held.size() - taken));
        if (n > 0) {
            taken += static_cast<std::size_t>(n);
        } else if (errno != EINTR) {
            // Nobody reads any more, and there is nowhere else to say so.
            taken = m_held.size();
        }
    }
    m_held.erase(0, taken);
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

LineBudget::LineBudget(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
{
}

bool LineBudget::take(std::string_view event, TimePoint now)
{
    auto it = m_events.find(event);
    if (it == m_events.end())
        it = m_events.emplace(std::string(event), Event { { m_perSecond, m_burst, now }, 0 }).first;
    if (it->second.bucket.take(1, now))
        return true;
    ++it->second.withheld;
    return false;
}

std::map<std::string, std::uint64_t> LineBudget::drainWithheld()
{
    std::map<std::string, std::uint64_t> withheld;
    for (auto& it : m_events) {
        if (it.second.withheld > 0)
            withheld.emplace(it.first, std::exchange(it.second.withheld, 0));
    }
    return withheld;
}

} // namespace foxtailwheel::telemetry
