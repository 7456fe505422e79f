#include "foxtailwheel/scheduling/ReturnSchedule.h"

#include <algorithm>

namespace foxtailwheel::scheduling {

ReturnSchedule::ReturnSchedule(std::uint64_t seed)
    : m_random(seed)
{
}

ReturnSchedule::Slot ReturnSchedule::slotAt(TimePoint time)
{
    return time.time_since_epoch() / slotLength;
}

void ReturnSchedule::evictPast(TimePoint now)
{
    m_costs.erase(m_costs.begin(), m_costs.lower_bound(slotAt(now)));
}

Duration ReturnSchedule::assign(double cost, Duration earliest, Duration latest, TimePoint now)
{
    evictPast(now);
    const auto first = slotAt(now + std::min(earliest, latest));
    const auto last = std::max(first, slotAt(now + latest) - 1);
    Slot chosen = first;
    double least = 0;
    std::uint64_t ties = 0;
    for (auto slot = first; slot <= last; ++slot) {
        const auto found = m_costs.find(slot);
        const double planned = found == m_costs.end() ? 0 : found->second;
        if (ties == 0 || planned < least) {
            least = planned;
            ties = 0;
        } else if (planned > least) {
            continue;
        }
        if (m_random.below(++ties) == 0)
            chosen = slot;
    }
    m_costs[chosen] += cost;
    const auto withinSlot = fromSeconds(m_random.uniform() * toSeconds(slotLength));
    const auto delay = TimePoint(chosen * slotLength + withinSlot) - now;
    return std::clamp<Duration>(delay, std::min(earliest, latest), latest);
}

double ReturnSchedule::expectedCost(Duration horizon, TimePoint now) const
{
    double sum = 0;
    const auto end = m_costs.upper_bound(slotAt(now + horizon));
    for (auto it = m_costs.lower_bound(slotAt(now)); it != end; ++it)
        sum += it->second;
    return sum;
}

} // namespace foxtailwheel::scheduling
