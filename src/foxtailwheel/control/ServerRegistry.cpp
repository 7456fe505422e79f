#include "foxtailwheel/control/ServerRegistry.h"

#include <algorithm>

namespace foxtailwheel::control {

void ServerRegistry::update(const std::map<BackendServerId, serving::AnnouncedServer>& entries,
    TimePoint lastUnavailableAt, TimePoint recoveredAt, TimePoint now)
{
    for (const auto& [id, server] : entries)
        m_entries[id] = { server, std::nullopt };
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
            it = m_entries.erase(it);
        }
    }
    expire(now);
}

bool ServerRegistry::expire(TimePoint now)
{
    return std::erase_if(m_entries, [now](const auto& it) {
        return it.second.expiresAt && *it.second.expiresAt <= now;
    }) > 0;
}

std::optional<TimePoint> ServerRegistry::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& it : m_entries) {
        if (it.second.expiresAt && (!next || *it.second.expiresAt < *next))
            next = it.second.expiresAt;
    }
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
