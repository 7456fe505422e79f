#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <unordered_map>
#include <vector>

namespace foxtailwheel::limits {

/// @brief Part of an account's rate for one instance.
struct Allowance {
    InstanceId instance;
    double perSecond = 0;
    bool asked = false; ///< The instance has demand, so it needs to be told.
};

/// @brief What the owner of an account knows of the demand on all instances; divides the rate by max-min fairness.
///
/// The parts of one division never add up to more than the rate. Not thread-safe.
class RateLedger {
public:
    /// @brief Takes an instance's demand; it counts for `demandLife`.
    void demanded(const ClientAccountId& account, const InstanceId& instance, double perSecond, TimePoint now);
    /// @brief Divides `rate` over `instances`: demands are met smallest first, and what is left goes to all evenly.
    std::vector<Allowance> divide(
        const ClientAccountId& account, double rate, const std::vector<InstanceId>& instances, TimePoint now) const;
    /// @brief Forgets demands that have lapsed.
    void sweep(TimePoint now);
    /// @brief Accounts that have demand.
    std::vector<ClientAccountId> accounts() const;

    /// @brief Time that a reported demand counts.
    static constexpr Duration demandLife = std::chrono::seconds(3);

private:
    struct Demand {
        double perSecond = 0;
        TimePoint until {};
    };

    std::unordered_map<ClientAccountId, std::unordered_map<InstanceId, Demand>> m_demands;
};

} // namespace foxtailwheel::limits
