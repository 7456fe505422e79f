#pragma once

#include "foxtailwheel/base/Ids.h"

#include <unordered_map>
#include <vector>

namespace foxtailwheel::limits {

/// @brief Share of a service's slots that one run occupies until it ends.
struct SlotReservation {
    ServiceId service;
    double slots = 0;
};

/// @brief Limits the work in progress for each service to this instance's share of the service's slots.
///
/// A run is admitted only if every service of its plan has free slots. Overload of a later stage therefore delays the
/// first stage, and runs that have already used resources can finish. Not thread-safe.
class ConcurrencyLimiter {
public:
    /// @brief Sets the number of slots of a service that this instance may use.
    void setLimit(const ServiceId& service, double slots);
    /// @brief Reserves slots if all reservations fit, else reserves nothing. A service with no work in progress accepts
    /// one run of any size.
    /// @return True if the slots were reserved.
    bool tryAcquire(const std::vector<SlotReservation>& reservations);
    /// @brief Releases the slots that `tryAcquire` reserved.
    void release(const std::vector<SlotReservation>& reservations);
    /// @brief Fraction of the slots in use: 0 if idle, above 1 if a single run exceeds the limit.
    double utilization(const ServiceId& service) const;
    /// @brief Limit of a service, in slots; 0 if the service is unknown.
    double limit(const ServiceId& service) const;

private:
    struct SlotUsage {
        double limit = 0;
        double used = 0;
    };

    std::unordered_map<ServiceId, SlotUsage> m_usage;
};

} // namespace foxtailwheel::limits
