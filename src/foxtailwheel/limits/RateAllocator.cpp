#include "foxtailwheel/limits/RateAllocator.h"

#include <algorithm>

namespace foxtailwheel::limits {

void RateAllocator::setDemand(
    const ClientAccountId& account, const InstanceId& instance, double perSecond, TimePoint now)
{
    m_demands[account][instance] = { perSecond, now + demandLifetime };
}

std::vector<RateShare> RateAllocator::allocate(
    const ClientAccountId& account, double rate, const std::vector<InstanceId>& instances, TimePoint now) const
{
    std::vector<RateShare> shares;
    const auto demands = m_demands.find(account);
    for (const auto& it : instances) {
        double demand = 0;
        if (demands != m_demands.end()) {
            const auto found = demands->second.find(it);
            demand = found != demands->second.end() && now < found->second.expiresAt ? found->second.perSecond : 0;
        }
        shares.push_back({ it, demand, demand > 0 });
    }
    std::sort(
        shares.begin(), shares.end(), [](const RateShare& a, const RateShare& b) { return a.perSecond < b.perSecond; });
    double remaining = rate;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double equalShare = remaining / static_cast<double>(shares.size() - i);
        shares[i].perSecond = std::min(shares[i].perSecond, equalShare);
        remaining -= shares[i].perSecond;
    }
    for (auto& it : shares)
        it.perSecond += remaining / static_cast<double>(shares.size());
    return shares;
}

void RateAllocator::evictExpired(TimePoint now)
{
    for (auto& it : m_demands)
        std::erase_if(it.second, [now](const auto& demand) { return demand.second.expiresAt <= now; });
    std::erase_if(m_demands, [](const auto& it) { return it.second.empty(); });
}

std::vector<ClientAccountId> RateAllocator::accounts() const
{
    std::vector<ClientAccountId> ids;
    for (const auto& it : m_demands)
        ids.push_back(it.first);
    return ids;
}

} // namespace foxtailwheel::limits
