#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <unordered_map>
#include <vector>

namespace foxtailwheel::limits {

/// @brief Share of an account's rate that is assigned to one instance.
struct RateShare {
    InstanceId instance;
    double perSecond = 0;
    bool hasDemand = false; ///< The instance reported demand, so its share has to be sent to it.
};

/// @brief Divides the rate of an account among the instances by max-min fairness, using their reported demand.
///
/// Used by the instance that owns the account. The shares of one allocation never add up to more than the rate.
/// Not thread-safe.
class RateAllocator {
public:
    /// @brief Sets the demand of an instance, in requests per second; it expires after `demandLifetime`.
    void setDemand(const ClientAccountId& account, const InstanceId& instance, double perSecond, TimePoint now);
    /// @brief Divides `rate`, in requests per second, among `instances`: demands are met smallest first, and the rest
    /// is divided equally.
    std::vector<RateShare> allocate(
        const ClientAccountId& account, double rate, const std::vector<InstanceId>& instances, TimePoint now) const;
    /// @brief Removes expired demands.
    void evictExpired(TimePoint now);
    /// @brief Accounts with demand.
    std::vector<ClientAccountId> accounts() const;

    /// @brief Time after which a reported demand expires.
    static constexpr Duration demandLifetime = std::chrono::seconds(3);

private:
    struct Demand {
        double perSecond = 0;
        TimePoint expiresAt {};
    };

    std::unordered_map<ClientAccountId, std::unordered_map<InstanceId, Demand>> m_demands;
};

} // namespace foxtailwheel::limits
