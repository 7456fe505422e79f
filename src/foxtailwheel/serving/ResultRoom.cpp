#include "foxtailwheel/serving/ResultRoom.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    /// Time for which a server that refused a result is taken to have less room than it needs: results are released
    /// within a few hundred milliseconds.
    constexpr Duration refusalTime = std::chrono::milliseconds(300);
    /// Time until a server has a release: it waits shortly for others, and goes from zone to zone on a connection that
    /// may have to be opened.
    constexpr Duration releaseTime = std::chrono::milliseconds(30);

} // namespace

void ResultRoom::setLimits(std::uint64_t bytes, Duration life)
{
    m_bytes = bytes;
    m_life = life;
}

std::uint64_t ResultRoom::left(const BackendServerId& id, TimePoint now)
{
    if (m_bytes == 0)
        return std::numeric_limits<std::uint64_t>::max();
    auto& server = m_servers[id];
    std::erase_if(server.results, [&server, now](const auto& it) {
        if (it.second.until > now)
            return false;
        server.used -= std::min(server.used, it.second.bytes);
        return true;
    });
    const auto left = m_bytes - std::min(m_bytes, server.used);
    if (server.refusedUntil <= now || server.refusedBytes == 0)
        return left;
    return std::min(left, server.refusedBytes - 1);
}

void ResultRoom::refused(const BackendServerId& id, std::uint64_t bytes, TimePoint now)
{
    auto& server = m_servers[id];
    server.refusedBytes = server.refusedUntil > now ? std::min(server.refusedBytes, bytes) : bytes;
    server.refusedUntil = now + refusalTime;
}

void ResultRoom::reserve(const BackendServerId& server, std::uint64_t bytes)
{
    m_servers[server].used += bytes;
}

void ResultRoom::unreserve(const BackendServerId& id, std::uint64_t bytes)
{
    auto& server = m_servers[id];
    server.used -= std::min(server.used, bytes);
}

void ResultRoom::made(const BackendServerId& id, const std::string& handle, std::uint64_t bytes, TimePoint now)
{
    auto& server = m_servers[id];
    if (server.results.try_emplace(handle, Result { bytes, now + m_life }).second)
        server.used += bytes;
}

bool ResultRoom::released(const BackendServerId& id, const std::string& handle, TimePoint now)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return false;
    const auto it = server->second.results.find(handle);
    if (it == server->second.results.end() || std::exchange(it->second.releasing, true))
        return false;
    it->second.until = std::min(it->second.until, now + releaseTime);
    m_freeAt.push_back(now + releaseTime);
    return true;
}

std::optional<TimePoint> ResultRoom::nextFree(TimePoint now)
{
    while (!m_freeAt.empty() && m_freeAt.front() <= now)
        m_freeAt.pop_front();
    return m_freeAt.empty() ? std::nullopt : std::optional(m_freeAt.front());
}

} // namespace foxtailwheel::serving
