#include "foxtailwheel/limits/RateLimiter.h"

#include <algorithm>

namespace foxtailwheel::limits {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration idleLife = 60s;
    /// Burst of a part, as seconds of its rate; at least one request always fits.
    constexpr double burstSeconds = 0.5;

    double burstOf(double rate)
    {
        return std::max(1.0, rate * burstSeconds);
    }

} // namespace

double RateLimiter::partOf(const Account& account, TimePoint now) const
{
    if (now < account.allowanceUntil)
        return account.allowance;
    return account.rate / static_cast<double>(m_instances);
}

Duration RateLimiter::take(const ClientAccountId& account, double rate, TimePoint now)
{
    const auto [it, fresh] = m_accounts.try_emplace(account);
    auto& state = it->second;
    state.rate = rate;
    const double part = std::max(1e-6, partOf(state, now));
    if (fresh)
        state.bucket = TokenBucket(part, burstOf(part), now);
    else if (state.bucket.rate() != part)
        state.bucket.setRate(part, burstOf(part), now);
    ++state.asked;
    state.lastAsked = now;
    if (state.bucket.take(1, now))
        return Duration {};
    return std::max<Duration>(state.bucket.wait(1, now), 1ms);
}

void RateLimiter::setAllowance(const ClientAccountId& account, double perSecond, TimePoint now)
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return;
    it->second.allowance = perSecond;
    it->second.allowanceUntil = now + allowanceLife;
}

std::vector<AccountDemand> RateLimiter::drainDemand(TimePoint now)
{
    std::vector<AccountDemand> demands;
    const double elapsed = std::max(1e-3, toSeconds(now - m_drainedAt));
    m_drainedAt = now;
    std::erase_if(m_accounts, [now](const auto& it) { return now - it.second.lastAsked > idleLife; });
    for (auto& it : m_accounts) {
        if (it.second.asked == 0)
            continue;
        demands.push_back({ it.first, static_cast<double>(it.second.asked) / elapsed });
        it.second.asked = 0;
    }
    return demands;
}

} // namespace foxtailwheel::limits
