#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace foxtailwheel::limits {

/// @brief One run that waits to be started.
struct QueuedRun {
    RunId run;
    double cost = 0; ///< Service time that it will take, in seconds.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint deadline;
};

/// @brief Weighted fair queue over client accounts: start-time fair queueing by service time.
///
/// Within an account runs leave by priority, then by deadline. Work-conserving: an idle account's share goes to the
/// others. Costs are logarithmic in the number of waiting accounts; idle accounts hold no state for long.
/// Not thread-safe.
class FairQueue {
public:
    /// @brief Adds a run of an account with the given weight, which is above 0.
    void push(const ClientAccountId& account, double weight, const QueuedRun& run);
    /// @brief The run that leaves next; empty where none waits.
    const QueuedRun* front() const;
    /// @brief Removes and returns the run that leaves next.
    std::optional<QueuedRun> pop();
    /// @brief Removes the run that leaves next without charging its account, for runs that will not be started.
    void drop();
    /// @brief Service time that waits, in seconds.
    double waitingCost() const { return m_waitingCost; }
    /// @brief Service time that leaves before a new run of `account` could, in seconds, by weighted shares.
    double costAhead(const ClientAccountId& account, double weight) const;
    bool empty() const { return m_order.empty(); }
    std::size_t size() const { return m_size; }
    /// @brief Accounts that state is held for.
    std::size_t accounts() const { return m_accounts.size(); }

private:
    struct Account {
        double weight = 1;
        double startTag = 0; ///< Virtual time from which the next run may leave.
        double cost = 0;
        std::multimap<std::pair<std::uint32_t, TimePoint>, QueuedRun> runs;
    };

    QueuedRun remove(bool charge);
    void sweep();

    std::unordered_map<ClientAccountId, Account> m_accounts;
    std::set<std::pair<double, ClientAccountId>> m_order;
    double m_virtualTime = 0;
    double m_waitingCost = 0;
    double m_waitingWeight = 0;
    std::size_t m_size = 0;
    std::size_t m_popsSinceSweep = 0;
};

} // namespace foxtailwheel::limits
