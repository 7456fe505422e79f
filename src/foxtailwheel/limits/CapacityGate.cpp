#include "foxtailwheel/limits/CapacityGate.h"

#include <algorithm>

namespace foxtailwheel::limits {

void CapacityGate::setLimit(const ServiceId& service, double slots)
{
    m_rooms[service].limit = slots;
}

bool CapacityGate::tryEnter(const std::vector<SlotHold>& holds)
{
    const bool fits = std::all_of(holds.begin(), holds.end(), [this](const SlotHold& it) {
        const auto& room = m_rooms[it.service];
        return room.used <= 0 || room.used + it.slots <= room.limit;
    });
    if (!fits)
        return false;
    for (const auto& it : holds)
        m_rooms[it.service].used += it.slots;
    return true;
}

void CapacityGate::leave(const std::vector<SlotHold>& holds)
{
    constexpr double nothing = 1e-9;
    for (const auto& it : holds) {
        auto& used = m_rooms[it.service].used;
        used -= it.slots;
        if (used < nothing)
            used = 0;
    }
}

double CapacityGate::utilization(const ServiceId& service) const
{
    const auto it = m_rooms.find(service);
    if (it == m_rooms.end() || it->second.limit <= 0)
        return 0;
    return it->second.used / it->second.limit;
}

double CapacityGate::limit(const ServiceId& service) const
{
    const auto it = m_rooms.find(service);
    return it == m_rooms.end() ? 0 : it->second.limit;
}

} // namespace foxtailwheel::limits
