#include "foxtailwheel/routing/Health.h"

#include <algorithm>

namespace foxtailwheel::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t brokenToSuspect = 2;
    constexpr std::uint32_t goodToReturn = 2;
    constexpr Duration firstPause = 500ms;
    constexpr Duration longestPause = 16s;

} // namespace

void Health::suspect(TimePoint now)
{
    m_pause = m_suspected ? std::min(m_pause * 2, longestPause) : firstPause;
    m_suspected = true;
    m_goodInRow = 0;
    m_tryAt = now + m_pause;
}

void Health::observe(CallSign sign, TimePoint now)
{
    switch (sign) {
    case CallSign::Good:
        m_badInRow = 0;
        if (m_suspected && ++m_goodInRow >= goodToReturn)
            m_suspected = false;
        return;
    case CallSign::Unreachable:
        if (!m_suspected || now >= m_tryAt)
            suspect(now);
        return;
    case CallSign::Broken:
        if (++m_badInRow >= brokenToSuspect && (!m_suspected || now >= m_tryAt))
            suspect(now);
        return;
    case CallSign::Busy:
        return;
    }
}

bool Health::usable(TimePoint now, std::uint32_t ownCalls) const
{
    return !m_suspected || (now >= m_tryAt && ownCalls == 0);
}

} // namespace foxtailwheel::routing
