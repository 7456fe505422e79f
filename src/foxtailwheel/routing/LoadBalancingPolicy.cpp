#include "foxtailwheel/routing/LoadBalancingPolicy.h"

#include <algorithm>

namespace foxtailwheel::routing {

namespace {

    /// Picks the server with the least expected time, price included. Near ties prefer the local zone and are broken at
    /// random, so that instances that received the same load reports do not all choose the same server.
    class LeastExpectedTime final : public LoadBalancingPolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& random) override
        {
            double least = totalSeconds(candidates[0]);
            for (const auto& it : candidates)
                least = std::min(least, totalSeconds(it));
            const auto isNearTie = [least](const Candidate& it) { return totalSeconds(it) <= least * nearTieRatio; };
            const bool anyLocal = std::any_of(
                candidates.begin(), candidates.end(), [&](const Candidate& it) { return it.isLocal && isNearTie(it); });
            std::size_t picked = 0;
            std::uint64_t eligibleCount = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                const bool eligible = isNearTie(candidates[i]) && (candidates[i].isLocal || !anyLocal);
                if (eligible && random.below(++eligibleCount) == 0)
                    picked = i;
            }
            return picked;
        }

    private:
        static constexpr double nearTieRatio = 1.05;

        static double totalSeconds(const Candidate& it) { return it.expectedSeconds + it.costSeconds; }
    };

    class RoundRobin final : public LoadBalancingPolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& /*random*/) override
        {
            return m_next++ % candidates.size();
        }

    private:
        std::size_t m_next = 0;
    };

    class LeastReportedLoad final : public LoadBalancingPolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& /*random*/) override
        {
            const auto less = [](const Candidate& a, const Candidate& b) { return a.reportedLoad < b.reportedLoad; };
            return static_cast<std::size_t>(
                std::min_element(candidates.begin(), candidates.end(), less) - candidates.begin());
        }
    };

    class PowerOfTwo final : public LoadBalancingPolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& random) override
        {
            const auto a = random.below(candidates.size());
            const auto b = random.below(candidates.size());
            return candidates[a].reportedLoad <= candidates[b].reportedLoad ? a : b;
        }
    };

} // namespace

std::unique_ptr<LoadBalancingPolicy> makeLoadBalancingPolicy(LoadBalancingPolicyKind kind)
{
    switch (kind) {
    case LoadBalancingPolicyKind::RoundRobin:
        return std::make_unique<RoundRobin>();
    case LoadBalancingPolicyKind::LeastReportedLoad:
        return std::make_unique<LeastReportedLoad>();
    case LoadBalancingPolicyKind::PowerOfTwoChoices:
        return std::make_unique<PowerOfTwo>();
    case LoadBalancingPolicyKind::LeastExpectedTime:
        break;
    }
    return std::make_unique<LeastExpectedTime>();
}

} // namespace foxtailwheel::routing
