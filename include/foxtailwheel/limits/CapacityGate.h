#pragma once

#include "foxtailwheel/base/Ids.h"

#include <unordered_map>
#include <vector>

namespace foxtailwheel::limits {

/// @brief Part of a service's slots that one run keeps busy while it lasts.
struct SlotHold {
    ServiceId service;
    double slots = 0;
};

/// @brief Bounds the work in progress for each service to this instance's share of its slots.
///
/// A run enters only where every service of its plan has room, so a later stage's overload holds back the first
/// stage and work already paid for is finished. Not thread-safe.
class CapacityGate {
public:
    /// @brief Sets the slots of a service that this instance may fill.
    void setLimit(const ServiceId& service, double slots);
    /// @brief Enters where all holds fit; a service with nothing in progress takes one run of any size.
    bool tryEnter(const std::vector<SlotHold>& holds);
    /// @brief Gives back what `tryEnter` took.
    void leave(const std::vector<SlotHold>& holds);
    /// @brief Share of the slots in use, from 0.
    double utilization(const ServiceId& service) const;
    /// @brief The limit of a service, in slots; 0 where it is unknown.
    double limit(const ServiceId& service) const;

private:
    struct Room {
        double limit = 0;
        double used = 0;
    };

    std::unordered_map<ServiceId, Room> m_rooms;
};

} // namespace foxtailwheel::limits
