#include "foxtailwheel/serving/DrainedZones.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::serving {

void DrainedZones::update(const std::set<AvailabilityZoneId>& rows, store::StoreEpoch epoch, TimePoint now)
{
    expire(now);
    const bool isOtherEpoch = m_epoch && *m_epoch != epoch;
    m_epoch = epoch;
    m_rows = rows;
    if (isOtherEpoch) {
        for (const auto& it : m_zones)
            m_missing[it] = now + missingRowPeriod;
        for (const auto& it : rows) {
            const auto restored = restoredAt(it);
            if (restored && now - *restored <= restoreMemory)
                m_outdated[it] = now + outdatedRowPeriod;
        }
    }
    std::erase_if(m_missing, [&rows](const auto& it) { return rows.contains(it.first); });
    std::erase_if(m_outdated, [&rows](const auto& it) { return !rows.contains(it.first); });
    rebuild(now);
}

void DrainedZones::expire(TimePoint now)
{
    const auto isOver = [now](const auto& it) { return it.second <= now; };
    if (std::erase_if(m_missing, isOver) + std::erase_if(m_outdated, isOver) > 0)
        rebuild(now);
}

void DrainedZones::rebuild(TimePoint now)
{
    std::set<AvailabilityZoneId> zones;
    for (const auto& it : m_rows) {
        if (!m_outdated.contains(it))
            zones.insert(it);
    }
    for (const auto& it : m_missing)
        zones.insert(it.first);
    for (const auto& it : std::exchange(m_zones, std::move(zones))) {
        if (!m_zones.contains(it))
            m_restoredAt[it] = now;
    }
    for (const auto& it : m_zones)
        m_restoredAt.erase(it);
}

std::optional<TimePoint> DrainedZones::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto* periods : { &m_missing, &m_outdated }) {
        for (const auto& it : *periods)
            next = std::min(next.value_or(it.second), it.second);
    }
    return next;
}

std::optional<TimePoint> DrainedZones::restoredAt(const AvailabilityZoneId& zone) const
{
    const auto found = m_restoredAt.find(zone);
    return found == m_restoredAt.end() ? std::nullopt : std::optional(found->second);
}

} // namespace foxtailwheel::serving
