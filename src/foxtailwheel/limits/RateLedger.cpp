#include "foxtailwheel/limits/RateLedger.h"

#include <algorithm>

namespace foxtailwheel::limits {

void RateLedger::demanded(const ClientAccountId& account, const InstanceId& instance, double perSecond, TimePoint now)
{
    m_demands[account][instance] = { perSecond, now + demandLife };
}

std::vector<Allowance> RateLedger::divide(
    const ClientAccountId& account, double rate, const std::vector<InstanceId>& instances, TimePoint now) const
{
    std::vector<Allowance> parts;
    const auto known = m_demands.find(account);
    for (const auto& it : instances) {
        double demand = 0;
        if (known != m_demands.end()) {
            const auto at = known->second.find(it);
            demand = at != known->second.end() && now < at->second.until ? at->second.perSecond : 0;
        }
        parts.push_back({ it, demand, demand > 0 });
    }
    std::sort(
        parts.begin(), parts.end(), [](const Allowance& a, const Allowance& b) { return a.perSecond < b.perSecond; });
    double left = rate;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const double even = left / static_cast<double>(parts.size() - i);
        parts[i].perSecond = std::min(parts[i].perSecond, even);
        left -= parts[i].perSecond;
    }
    for (auto& it : parts)
        it.perSecond += left / static_cast<double>(parts.size());
    return parts;
}

void RateLedger::sweep(TimePoint now)
{
    for (auto& it : m_demands)
        std::erase_if(it.second, [now](const auto& demand) { return demand.second.until <= now; });
    std::erase_if(m_demands, [](const auto& it) { return it.second.empty(); });
}

std::vector<ClientAccountId> RateLedger::accounts() const
{
    std::vector<ClientAccountId> ids;
    for (const auto& it : m_demands)
        ids.push_back(it.first);
    return ids;
}

} // namespace foxtailwheel::limits
