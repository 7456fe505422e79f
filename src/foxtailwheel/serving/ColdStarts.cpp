#include "foxtailwheel/serving/ColdStarts.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::serving {

void ColdStarts::update(const std::vector<AnnouncedServer>& servers, TimePoint now, WallTime wallNow)
{
    const bool isFirstRead = !std::exchange(m_hasRead, true);
    for (const auto& it : servers) {
        const auto [found, isNew] = m_known.try_emplace(it.server.id);
        auto& known = found->second;
        const bool isStart = isNew ? !isFirstRead : it.startedAt > known.entry.startedAt;
        const bool isOtherEntry
            = isNew || it.sequence != known.entry.sequence || it.coldRemaining != known.entry.coldRemaining;
        if (isStart || isOtherEntry)
            known.coldByEntry = now + it.coldRemaining;
        if (isStart) {
            known.startedAt = it.coldRemaining > Duration {} ? std::nullopt : std::optional(now);
            // A new id may be that of a server that has run for long; a later start of a known one is a start.
            known.ageAtStart = isNew && it.startedAt != WallTime {} ? Duration(wallNow - it.startedAt) : Duration {};
        }
        // A server that started shortly before this instance did.
        if (isFirstRead && it.coldRemaining == Duration {} && it.startedAt != WallTime {})
            known.startedAt = now - std::max(Duration {}, Duration(wallNow - it.startedAt));
        known.entry = it;
        known.seenAt = now;
    }
    std::erase_if(m_known, [now](const auto& it) { return now - it.second.seenAt > memory; });
}

TimePoint ColdStarts::coldUntil(const BackendServerId& server, Duration coldTime) const
{
    const auto found = m_known.find(server);
    if (found == m_known.end())
        return {};
    const auto& known = found->second;
    const bool isRecent = known.startedAt && known.ageAtStart < coldTime + clockTolerance;
    return isRecent ? std::max(known.coldByEntry, *known.startedAt + coldTime) : known.coldByEntry;
}

} // namespace foxtailwheel::serving
