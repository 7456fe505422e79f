#include "foxtailwheel/serving/ResultRoom.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    /// Time in which results that are not known here are taken to end: they live for seconds where their owner is gone,
    /// and for some hundred milliseconds where it is not, or where sizes were only approximate.
    constexpr Duration unknownTime = std::chrono::seconds(1);
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
    return m_bytes - std::min(m_bytes, server.used + unknownNow(server, now));
}

std::uint64_t ResultRoom::unknownNow(const Server& server, TimePoint now)
{
    const auto age = now - server.unknownAt;
    if (server.unknown == 0 || age >= unknownTime)
        return 0;
    const double left = 1 - toSeconds(age) / toSeconds(unknownTime);
    return static_cast<std::uint64_t>(static_cast<double>(server.unknown) * left);
}

void ResultRoom::refused(const BackendServerId& id, std::uint64_t bytes, TimePoint now)
{
    auto& server = m_servers[id];
    const auto taken = m_bytes - std::min(m_bytes, bytes) + 1;
    server.unknown = std::max(unknownNow(server, now), taken - std::min(taken, server.used));
    server.unknownAt = now;
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
