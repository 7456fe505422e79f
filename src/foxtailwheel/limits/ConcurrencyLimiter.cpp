#include "foxtailwheel/limits/ConcurrencyLimiter.h"

#include <algorithm>

namespace foxtailwheel::limits {

void ConcurrencyLimiter::setLimit(const ServiceId& service, double slots)
{
    m_usage[service].limit = slots;
}

bool ConcurrencyLimiter::tryAcquire(const std::vector<SlotReservation>& reservations)
{
    const bool fits = std::all_of(reservations.begin(), reservations.end(), [this](const SlotReservation& it) {
        const auto& usage = m_usage[it.service];
        return usage.used <= 0 || usage.used + it.slots <= usage.limit;
    });
    if (!fits)
        return false;
    for (const auto& it : reservations)
        m_usage[it.service].used += it.slots;
    return true;
}

void ConcurrencyLimiter::release(const std::vector<SlotReservation>& reservations)
{
    constexpr double roundingErrorSlots = 1e-9; // sums of fractional slots do not return to exactly 0
    for (const auto& it : reservations) {
        auto& used = m_usage[it.service].used;
        used -= it.slots;
        if (used < roundingErrorSlots)
            used = 0;
    }
}

double ConcurrencyLimiter::utilization(const ServiceId& service) const
{
    const auto it = m_usage.find(service);
    if (it == m_usage.end() || it->second.limit <= 0)
        return 0;
    return it->second.used / it->second.limit;
}

double ConcurrencyLimiter::limit(const ServiceId& service) const
{
    const auto it = m_usage.find(service);
    return it == m_usage.end() ? 0 : it->second.limit;
}

} // namespace foxtailwheel::limits
