#include "foxtailwheel/routing/ColdNotices.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>

namespace foxtailwheel::routing {

void ColdNotices::add(const std::vector<ColdNotice>& notices, TimePoint now)
{
    m_hasHeard = true;
    std::erase_if(m_coldUntil, [now](const auto& it) { return it.second <= now; });
    for (const auto& it : notices) {
        if (m_coldUntil.size() >= maxServers && !m_coldUntil.contains(it.server))
            continue;
        auto& until = m_coldUntil[it.server];
        until = std::max(until, now + it.remaining);
    }
}

TimePoint ColdNotices::coldUntil(const BackendServerId& server) const
{
    if (m_coldUntil.empty())
        return {};
    const auto found = m_coldUntil.find(hashOf(server.value()));
    return found == m_coldUntil.end() ? TimePoint {} : found->second;
}

std::vector<ColdNotice> selectForMessage(std::vector<ColdNotice> notices)
{
    const auto n = std::min(notices.size(), ColdNotices::maxNotices);
    std::partial_sort(notices.begin(), notices.begin() + static_cast<std::ptrdiff_t>(n), notices.end(),
        [](const ColdNotice& a, const ColdNotice& b) { return a.remaining > b.remaining; });
    notices.resize(n);
    return notices;
}

} // namespace foxtailwheel::routing
