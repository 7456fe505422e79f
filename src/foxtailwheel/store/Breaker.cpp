#include "foxtailwheel/store/Breaker.h"

#include <algorithm>

namespace foxtailwheel::store {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration firstPause = 200ms;
    constexpr Duration longestPause = 5s;

} // namespace

Breaker::Breaker(std::uint32_t mostInProgress, std::uint64_t seed)
    : m_mostInProgress(mostInProgress)
    , m_random(seed)
{
}

bool Breaker::tryStart(TimePoint now)
{
    const std::uint32_t most = open() ? 1 : m_mostInProgress;
    if (m_inProgress >= most || (open() && now < m_tryAt))
        return false;
    ++m_inProgress;
    return true;
}

void Breaker::ended(bool succeeded, TimePoint now)
{
    --m_inProgress;
    if (succeeded) {
        m_failures = 0;
        m_pause = Duration {};
        return;
    }
    ++m_failures;
    if (!open())
        return;
    m_pause = m_pause == Duration {} ? firstPause : std::min(m_pause * 2, longestPause);
    m_tryAt = now + fromSeconds(toSeconds(m_pause) * (0.5 + m_random.uniform() / 2));
}

} // namespace foxtailwheel::store
