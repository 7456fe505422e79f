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

/// @brief A run that waits to be started.
struct QueuedRun {
    RunId run;
    double cost = 0; ///< Expected service time, in seconds.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint deadline;
};

/// @brief Weighted fair queue over client accounts: start-time fair queueing by service time.
///
/// Runs of one account are ordered by priority, then by deadline. Work-conserving: the share of an idle account goes to
/// the others. Operations take logarithmic time in the number of waiting accounts; the state of idle accounts is
/// evicted periodically. Not thread-safe.
class FairQueue {
public:
    /// @brief Adds a run of an account.
    /// @param weight Weight of the account, above 0.
    void push(const ClientAccountId& account, double weight, const QueuedRun& run);
    /// @brief The next run; null if the queue is empty.
    const QueuedRun* front() const;
    /// @brief Removes and returns the next run; empty if the queue is empty.
    std::optional<QueuedRun> pop();
    /// @brief Removes the next run without charging its account, for runs that will not be started.
    void dropFront();
    /// @brief Total service time of the queued runs, in seconds.
    double queuedCost() const { return m_queuedCost; }
    /// @brief Estimates the service time, in seconds, that is dequeued before a new run of `account`.
    double costAhead(const ClientAccountId& account, double weight) const;
    bool empty() const { return m_accountsByStartTag.empty(); }
    std::size_t size() const { return m_size; }
    /// @brief Number of accounts with state in memory.
    std::size_t accountCount() const { return m_accounts.size(); }

private:
    struct Account {
        double weight = 1;
        double startTag = 0; ///< Virtual time at which the next run becomes eligible.
        double queuedCost = 0;
        std::multimap<std::pair<std::uint32_t, TimePoint>, QueuedRun> runs;
    };

    QueuedRun remove(bool charge);
    void evictIdleAccounts();

    std::unordered_map<ClientAccountId, Account> m_accounts;
    std::set<std::pair<double, ClientAccountId>> m_accountsByStartTag;
    double m_virtualTime = 0;
    double m_queuedCost = 0;
    double m_queuedWeight = 0;
    std::size_t m_size = 0;
    std::size_t m_removalsSinceEviction = 0;
};

} // namespace foxtailwheel::limits
