#include "foxtailwheel/control/ServerWatch.h"

#include <algorithm>

namespace foxtailwheel::control {

void ServerWatch::update(const std::map<BackendServerId, serving::AnnouncedServer>& entries, TimePoint lostAt,
    TimePoint regainedAt, TimePoint now)
{
    for (const auto& [id, server] : entries)
        m_entries[id] = { server, std::nullopt };
    const bool afterOutage = lostAt != TimePoint {} && now - regainedAt < outageMemory;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        if (entries.contains(it->first)) {
            ++it;
        } else if (entry.missingUntil || (afterOutage && !entry.server.leaving)) {
            if (!entry.missingUntil)
                entry.missingUntil = regainedAt + returnTime;
            ++it;
        } else {
            it = m_entries.erase(it);
        }
    }
    expire(now);
}

bool ServerWatch::expire(TimePoint now)
{
    return std::erase_if(m_entries, [now](const auto& it) {
        return it.second.missingUntil && *it.second.missingUntil <= now;
    }) > 0;
}

std::optional<TimePoint> ServerWatch::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& it : m_entries) {
        if (it.second.missingUntil && (!next || *it.second.missingUntil < *next))
            next = it.second.missingUntil;
    }
    return next;
}

std::vector<serving::AnnouncedServer> ServerWatch::servers() const
{
    std::vector<serving::AnnouncedServer> out;
    for (const auto& it : m_entries)
        out.push_back(it.second.server);
    return out;
}

} // namespace foxtailwheel::control
