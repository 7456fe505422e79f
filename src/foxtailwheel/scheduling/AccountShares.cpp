#include "foxtailwheel/scheduling/AccountShares.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::scheduling {

namespace {

    /// Half-lives after which an account without requests counts as idle and lends its share: less than 2% of its last
    /// cost is left.
    constexpr double idleHalfLives = 6;
    constexpr Duration evictionInterval = std::chrono::seconds(1);

} // namespace

double AccountShares::Usage::costAt(TimePoint now) const
{
    return cost * std::exp2(-toSeconds(std::max<Duration>(now - updatedAt, {})) / toSeconds(halfLife));
}

void AccountShares::add(const ClientAccountId& account, double cost, TimePoint now)
{
    evictIdle(now);
    auto& usage = m_accounts[account];
    usage = { usage.costAt(now) + cost, now };
}

/// Returns the cost that each account may have; empty if an account is alone, which has no share to exceed.
std::optional<double> AccountShares::fairShare(TimePoint now) const
{
    double total = 0;
    for (const auto& it : m_accounts)
        total += it.second.costAt(now);
    return m_accounts.size() < 2 || total <= 0 ? std::nullopt
                                               : std::optional(total / static_cast<double>(m_accounts.size()));
}

double AccountShares::usage(const ClientAccountId& account, TimePoint now) const
{
    const auto found = m_accounts.find(account);
    const auto share = fairShare(now);
    return found == m_accounts.end() || !share ? 0 : found->second.costAt(now) / *share;
}

std::map<ClientAccountId, double> AccountShares::usages(TimePoint now) const
{
    std::map<ClientAccountId, double> usages;
    const auto share = fairShare(now);
    for (const auto& [account, usage] : m_accounts)
        usages[account] = share ? usage.costAt(now) / *share : 0;
    return usages;
}

void AccountShares::evictIdle(TimePoint now)
{
    if (now - m_evictedAt < evictionInterval)
        return;
    m_evictedAt = now;
    std::erase_if(m_accounts,
        [now](const auto& it) { return toSeconds(now - it.second.updatedAt) > idleHalfLives * toSeconds(halfLife); });
}

} // namespace foxtailwheel::scheduling
