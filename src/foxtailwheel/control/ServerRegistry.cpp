#include "foxtailwheel/control/ServerRegistry.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::control {

namespace {

    bool isNewer(const serving::AnnouncedServer& entry, const serving::AnnouncedServer& known)
    {
        return entry.startedAt == known.startedAt ? entry.sequence > known.sequence : entry.startedAt > known.startedAt;
    }

} // namespace

void ServerRegistry::update(const std::map<BackendServerId, serving::AnnouncedServer>& entries,
    TimePoint lastUnavailableAt, TimePoint recoveredAt, TimePoint now)
{
    std::erase_if(m_departures, [now](const auto& it) { return now - it.second.at > departureMemory; });
    if (std::exchange(m_wasRestored, false))
        markOutdated(entries, now);
    std::erase_if(m_outdated, [&entries](const auto& it) {
        const auto entry = entries.find(it.first);
        return entry == entries.end() || entry->second != it.second.entry;
    });
    for (const auto& [id, server] : entries) {
        if (m_outdated.contains(id))
            continue;
        m_entries[id] = { server, std::nullopt };
        m_departures.erase(id);
    }
    const bool afterOutage = lastUnavailableAt != TimePoint {} && now - recoveredAt < outageEffectPeriod;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        if (entries.contains(it->first)) {
            ++it;
        } else if (entry.expiresAt || (afterOutage && !entry.server.leaving)) {
            if (!entry.expiresAt)
                entry.expiresAt = std::min(recoveredAt + reannounceGracePeriod, now + m_maxRetention);
            ++it;
        } else {
            rememberDeparture(entry.server, now);
            it = m_entries.erase(it);
        }
    }
    expire(now);
}

void ServerRegistry::markOutdated(const std::map<BackendServerId, serving::AnnouncedServer>& entries, TimePoint now)
{
    for (const auto& [id, server] : entries) {
        const auto departure = m_departures.find(id);
        const auto entry = m_entries.find(id);
        const bool isDeparted = departure != m_departures.end() && !isNewer(server, departure->second.last);
        const bool isLeaving = entry != m_entries.end() && entry->second.server.leaving && !server.leaving
            && !isNewer(server, entry->second.server);
        if (isDeparted || isLeaving)
            m_outdated[id] = { server, now + outdatedEntryPeriod };
    }
}

void ServerRegistry::rememberDeparture(const serving::AnnouncedServer& server, TimePoint now)
{
    m_departures[server.server.id] = { server, now };
    if (m_departures.size() <= maxDepartures)
        return;
    m_departures.erase(std::min_element(m_departures.begin(), m_departures.end(),
        [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

bool ServerRegistry::expire(TimePoint now)
{
    bool changed = std::erase_if(m_entries, [&](const auto& it) {
        const bool isDue = it.second.expiresAt && *it.second.expiresAt <= now;
        if (isDue)
            rememberDeparture(it.second.server, now);
        return isDue;
    }) > 0;
    for (auto it = m_outdated.begin(); it != m_outdated.end();) {
        if (it->second.ignoredUntil > now) {
            ++it;
            continue;
        }
        m_entries[it->first] = { it->second.entry, std::nullopt };
        m_departures.erase(it->first);
        it = m_outdated.erase(it);
        changed = true;
    }
    return changed;
}

std::optional<TimePoint> ServerRegistry::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& it : m_entries) {
        if (it.second.expiresAt && (!next || *it.second.expiresAt < *next))
            next = it.second.expiresAt;
    }
    for (const auto& it : m_outdated)
        next = std::min(next.value_or(it.second.ignoredUntil), it.second.ignoredUntil);
    return next;
}

std::vector<serving::AnnouncedServer> ServerRegistry::servers() const
{
    std::vector<serving::AnnouncedServer> out;
    for (const auto& it : m_entries)
        out.push_back(it.second.server);
    return out;
}

} // namespace foxtailwheel::control
