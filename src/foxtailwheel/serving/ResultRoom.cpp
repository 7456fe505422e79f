#include "foxtailwheel/serving/ResultRoom.h"

#include <algorithm>
#include <limits>

namespace foxtailwheel::serving {

namespace {

    /// Time for which a server that refused a result counts as full: results are released within a few hundred
    /// milliseconds.
    constexpr Duration fullTime = std::chrono::milliseconds(300);

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
    return server.fullUntil > now ? 0 : m_bytes - std::min(m_bytes, server.used);
}

void ResultRoom::refused(const BackendServerId& server, TimePoint now)
{
    m_servers[server].fullUntil = now + fullTime;
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

bool ResultRoom::released(const BackendServerId& id, const std::string& handle)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return false;
    const auto it = server->second.results.find(handle);
    if (it == server->second.results.end())
        return false;
    server->second.used -= std::min(server->second.used, it->second.bytes);
    server->second.results.erase(it);
    return true;
}

} // namespace foxtailwheel::serving
