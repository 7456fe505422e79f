#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace foxtailwheel::scheduling {

/// @brief Recent cost of each client account in relation to its fair share.
///
/// Answers a burst of one account beside others: while there is too little capacity, the account that uses more than
/// its share waits or is refused first. Shares are equal among the accounts that were active lately, so that the share
/// of an idle account is lent to the others. An instance sees a sample of each account's requests, since callers of an
/// account reach all instances alike. Not thread-safe.
class AccountShares {
public:
    /// @brief Records the cost of an admitted request, in any unit that is the same for all accounts.
    void add(const ClientAccountId& account, double cost, TimePoint now);
    /// @brief Returns the recent cost of an account divided by its fair share: 1 is exactly the share, 0 no cost.
    double usage(const ClientAccountId& account, TimePoint now) const;
    /// @brief Returns the same for all accounts that were active lately.
    std::map<ClientAccountId, double> usages(TimePoint now) const;
    /// @brief Returns true if the account has used so much more than its share that this is not chance.
    bool isOverShare(const ClientAccountId& account, TimePoint now) const { return usage(account, now) > overShare; }

    /// @brief Half-life of a recorded cost: a burst of a few seconds counts, the load of a minute ago does not.
    static constexpr Duration halfLife = std::chrono::seconds(5);
    /// @brief An instance sees some tens of requests within the half-life; counts of that size differ by up to a factor
    /// of two by chance.
    static constexpr double overShare = 2;

private:
    struct Usage {
        double cost = 0; ///< At `updatedAt`.
        TimePoint updatedAt {};

        double costAt(TimePoint now) const;
    };

    std::optional<double> fairShare(TimePoint now) const;
    void evictIdle(TimePoint now);

    std::unordered_map<ClientAccountId, Usage> m_accounts;
    TimePoint m_evictedAt {};
};

} // namespace foxtailwheel::scheduling
