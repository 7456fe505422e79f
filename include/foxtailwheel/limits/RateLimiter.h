#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/limits/TokenBucket.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::limits {

/// @brief Request rate that one instance received for a rate-limited account.
struct AccountDemand {
    ClientAccountId account;
    double perSecond = 0;
};

/// @brief Enforces this instance's share of the accounts' request rates.
///
/// An account starts with its rate divided by the number of instances; the instance that owns the account then assigns
/// shares by demand with `setShare`. State is kept only for accounts with a request in the last minute.
/// Not thread-safe.
class RateLimiter {
public:
    /// @brief Admits one request of an account that is limited to `rate` requests per second over all instances.
    /// @return Zero if the request is admitted, else the time to wait before a retry.
    Duration tryAcquire(const ClientAccountId& account, double rate, TimePoint now);
    /// @brief Sets the number of instances that share the rates.
    void setInstanceCount(std::size_t n) { m_instanceCount = n == 0 ? 1 : n; }
    /// @brief Sets the share that the account's owner assigned to this instance; it expires after `shareLifetime`.
    void setShare(const ClientAccountId& account, double perSecond, TimePoint now);
    /// @brief Returns the demand since the last call, for accounts with requests, and evicts idle accounts.
    std::vector<AccountDemand> drainDemand(TimePoint now);
    /// @brief Number of accounts with state in memory.
    std::size_t accountCount() const { return m_accounts.size(); }

    /// @brief Time after which an assigned share that is not renewed falls back to the equal share.
    static constexpr Duration shareLifetime = std::chrono::seconds(5);

private:
    struct Account {
        TokenBucket bucket;
        double rate = 0;
        double assignedShare = 0;
        TimePoint assignedShareExpiresAt {};
        std::size_t requestCount = 0;
        TimePoint lastRequestAt {};
    };

    double currentShare(const Account& account, TimePoint now) const;

    std::unordered_map<ClientAccountId, Account> m_accounts;
    std::size_t m_instanceCount = 1;
    TimePoint m_drainedAt {};
};

} // namespace foxtailwheel::limits
