#include "foxtailwheel/routing/ChoicePolicy.h"

#include <algorithm>

namespace foxtailwheel::routing {

namespace {

    /// Picks the least expected finish, price included. Near ties go to the own zone, and are drawn at random, so that
    /// instances which see the same reports do not all run to the same server.
    class ExpectedFinish final : public ChoicePolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& random) override
        {
            double best = worth(candidates[0]);
            for (const auto& it : candidates)
                best = std::min(best, worth(it));
            const auto near = [best](const Candidate& it) { return worth(it) <= best * tieShare; };
            const bool anyLocal = std::any_of(
                candidates.begin(), candidates.end(), [&](const Candidate& it) { return it.isLocal && near(it); });
            std::size_t picked = 0;
            std::uint64_t ties = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                const bool wanted = near(candidates[i]) && (candidates[i].isLocal || !anyLocal);
                if (wanted && random.below(++ties) == 0)
                    picked = i;
            }
            return picked;
        }

    private:
        static constexpr double tieShare = 1.05;

        static double worth(const Candidate& it) { return it.expectedSeconds + it.costSeconds; }
    };

    class RoundRobin final : public ChoicePolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& /*random*/) override
        {
            return m_next++ % candidates.size();
        }

    private:
        std::size_t m_next = 0;
    };

    class LeastReportedLoad final : public ChoicePolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& /*random*/) override
        {
            const auto less = [](const Candidate& a, const Candidate& b) { return a.reportedLoad < b.reportedLoad; };
            return static_cast<std::size_t>(
                std::min_element(candidates.begin(), candidates.end(), less) - candidates.begin());
        }
    };

    class PowerOfTwo final : public ChoicePolicy {
    public:
        std::size_t pick(std::span<const Candidate> candidates, Random& random) override
        {
            const auto a = random.below(candidates.size());
            const auto b = random.below(candidates.size());
            return candidates[a].reportedLoad <= candidates[b].reportedLoad ? a : b;
        }
    };

} // namespace

std::unique_ptr<ChoicePolicy> makeChoicePolicy(ChoicePolicyKind kind)
{
    switch (kind) {
    case ChoicePolicyKind::RoundRobin:
        return std::make_unique<RoundRobin>();
    case ChoicePolicyKind::LeastReportedLoad:
        return std::make_unique<LeastReportedLoad>();
    case ChoicePolicyKind::PowerOfTwo:
        return std::make_unique<PowerOfTwo>();
    case ChoicePolicyKind::ExpectedFinish:
        break;
    }
    return std::make_unique<ExpectedFinish>();
}

} // namespace foxtailwheel::routing
