#include "foxtailwheel/limits/RateLimiter.h"

#include <algorithm>

namespace foxtailwheel::limits {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration idleAccountRetention = 60s;
    /// Burst size of a share, in seconds of its rate; the burst is at least one request.
    constexpr double burstSeconds = 0.5;

    double burstForRate(double rate)
    {
        return std::max(1.0, rate * burstSeconds);
    }

} // namespace

double RateLimiter::currentShare(const Account& account, TimePoint now) const
{
    if (now < account.assignedShareExpiresAt)
        return account.assignedShare;
    return account.rate / static_cast<double>(m_instanceCount);
}

Duration RateLimiter::tryAcquire(const ClientAccountId& account, double rate, TimePoint now)
{
    const auto [it, inserted] = m_accounts.try_emplace(account);
    auto& state = it->second;
    state.rate = rate;
    constexpr double minRatePerSecond = 1e-6; // `TokenBucket` needs a rate above 0
    const double share = std::max(minRatePerSecond, currentShare(state, now));
    if (inserted)
        state.bucket = TokenBucket(share, burstForRate(share), now);
    else if (state.bucket.rate() != share)
        state.bucket.setRate(share, burstForRate(share), now);
    ++state.requestCount;
    state.lastRequestAt = now;
    if (state.bucket.tryAcquire(1, now))
        return Duration {};
    return std::max<Duration>(state.bucket.timeUntilAvailable(1, now), 1ms);
}

void RateLimiter::setShare(const ClientAccountId& account, double perSecond, TimePoint now)
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return;
    it->second.assignedShare = perSecond;
    it->second.assignedShareExpiresAt = now + shareLifetime;
}

std::vector<AccountDemand> RateLimiter::drainDemand(TimePoint now)
{
    std::vector<AccountDemand> demands;
    // At least 1 ms, which bounds the rates if calls follow each other closely.
    const double elapsed = std::max(1e-3, toSeconds(now - m_drainedAt));
    m_drainedAt = now;
    std::erase_if(m_accounts, [now](const auto& it) { return now - it.second.lastRequestAt > idleAccountRetention; });
    for (auto& it : m_accounts) {
        if (it.second.requestCount == 0)
            continue;
        demands.push_back({ it.first, static_cast<double>(it.second.requestCount) / elapsed });
        it.second.requestCount = 0;
    }
    return demands;
}

} // namespace foxtailwheel::limits
