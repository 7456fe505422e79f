#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/limits/TokenBucket.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::limits {

/// @brief Demand that one instance saw for a limited account.
struct AccountDemand {
    ClientAccountId account;
    double perSecond = 0;
};

/// @brief Local part of the accounts' request rates.
///
/// An account starts with the rate divided by the number of instances; the account's owner moves the parts to where
/// the demand is by `setAllowance`. State is held for accounts seen in the last minute only. Not thread-safe.
class RateLimiter {
public:
    /// @brief Takes one request of an account that is limited to `rate` per second over all instances.
    /// @return Zero where it may pass, else the time until it may.
    Duration take(const ClientAccountId& account, double rate, TimePoint now);
    /// @brief Sets the number of instances that share the rates.
    void setInstances(std::size_t n) { m_instances = n == 0 ? 1 : n; }
    /// @brief Takes the part that the owner gives this instance; it lapses after `allowanceLife`.
    void setAllowance(const ClientAccountId& account, double perSecond, TimePoint now);
    /// @brief Demand since the last call, for accounts that asked; forgets idle accounts.
    std::vector<AccountDemand> drainDemand(TimePoint now);
    std::size_t accounts() const { return m_accounts.size(); }

    /// @brief Time after which an allowance that is not renewed lapses to the even part.
    static constexpr Duration allowanceLife = std::chrono::seconds(5);

private:
    struct Account {
        TokenBucket bucket;
        double rate = 0;
        double allowance = 0;
        TimePoint allowanceUntil {};
        std::size_t asked = 0;
        TimePoint lastAsked {};
    };

    double partOf(const Account& account, TimePoint now) const;

    std::unordered_map<ClientAccountId, Account> m_accounts;
    std::size_t m_instances = 1;
    TimePoint m_drainedAt {};
};

} // namespace foxtailwheel::limits
