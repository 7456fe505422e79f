#include "foxtailwheel/serving/ResultCapacity.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    /// Time within which untracked results are assumed to end: they exist for seconds if their owner was removed, and
    /// for some hundred milliseconds if it was not or if sizes were only approximate.
    constexpr Duration untrackedResultsLifetime = std::chrono::seconds(1);
    /// Time until a release reaches its server: releases are delayed briefly to be sent together, and cross zones on a
    /// connection that may have to be opened.
    constexpr Duration releaseDelay = std::chrono::milliseconds(30);
    /// Weight of a released result in the means. Some hundred are released per second under load.
    constexpr double smoothingFactor = 0.005;

} // namespace

void ResultCapacity::setLimits(std::uint64_t bytes, Duration lifetime)
{
    m_bytesPerServer = bytes;
    m_resultLifetime = lifetime;
}

std::uint64_t ResultCapacity::available(const BackendServerId& id, TimePoint now)
{
    if (m_bytesPerServer == 0)
        return std::numeric_limits<std::uint64_t>::max();
    auto& server = m_servers[id];
    std::erase_if(server.results, [&server, now](const auto& it) {
        if (it.second.expiresAt > now)
            return false;
        server.usedBytes -= std::min(server.usedBytes, it.second.bytes);
        return true;
    });
    return m_bytesPerServer - std::min(m_bytesPerServer, server.usedBytes + currentUntrackedBytes(server, now));
}

std::uint64_t ResultCapacity::currentUntrackedBytes(const Server& server, TimePoint now)
{
    const auto age = now - server.untrackedAt;
    if (server.untrackedBytes == 0 || age >= untrackedResultsLifetime)
        return 0;
    const double share = 1 - toSeconds(age) / toSeconds(untrackedResultsLifetime);
    return static_cast<std::uint64_t>(static_cast<double>(server.untrackedBytes) * share);
}

void ResultCapacity::onRejected(const BackendServerId& id, std::uint64_t bytes, TimePoint now)
{
    auto& server = m_servers[id];
    const auto occupied = m_bytesPerServer - std::min(m_bytesPerServer, bytes) + 1;
    server.untrackedBytes
        = std::max(currentUntrackedBytes(server, now), occupied - std::min(occupied, server.usedBytes));
    server.untrackedAt = now;
}

void ResultCapacity::reserve(const BackendServerId& server, std::uint64_t bytes)
{
    m_servers[server].usedBytes += bytes;
}

void ResultCapacity::cancelReservation(const BackendServerId& id, std::uint64_t bytes)
{
    auto& server = m_servers[id];
    server.usedBytes -= std::min(server.usedBytes, bytes);
}

void ResultCapacity::addResult(const BackendServerId& id, const std::string& handle, std::uint64_t bytes, TimePoint now)
{
    auto& server = m_servers[id];
    if (server.results.try_emplace(handle, Result { bytes, now + m_resultLifetime, false, now }).second)
        server.usedBytes += bytes;
}

bool ResultCapacity::release(const BackendServerId& id, const std::string& handle, TimePoint now)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return false;
    const auto it = server->second.results.find(handle);
    if (it == server->second.results.end() || std::exchange(it->second.released, true))
        return false;
    recordRelease(it->second, now);
    it->second.expiresAt = std::min(it->second.expiresAt, now + releaseDelay);
    m_releaseTimes.push_back(now + releaseDelay);
    return true;
}

void ResultCapacity::recordRelease(const Result& result, TimePoint now)
{
    const auto bytes = static_cast<double>(result.bytes);
    const auto seconds = toSeconds(now + releaseDelay - result.addedAt);
    const double weight = m_meanBytes > 0 ? smoothingFactor : 1;
    m_meanBytes += weight * (bytes - m_meanBytes);
    m_meanRetentionSeconds += weight * (seconds - m_meanRetentionSeconds);
}

std::optional<ResultCapacity::Usage> ResultCapacity::usage() const
{
    if (m_bytesPerServer == 0 || m_meanBytes <= 0)
        return std::nullopt;
    return Usage { static_cast<double>(m_bytesPerServer) / m_meanBytes, fromSeconds(m_meanRetentionSeconds) };
}

std::optional<TimePoint> ResultCapacity::nextFreeAt(TimePoint now)
{
    while (!m_releaseTimes.empty() && m_releaseTimes.front() <= now)
        m_releaseTimes.pop_front();
    return m_releaseTimes.empty() ? std::nullopt : std::optional(m_releaseTimes.front());
}

} // namespace foxtailwheel::serving
