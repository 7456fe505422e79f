#include "foxtailwheel/bench/Scenario.h"

#include <array>
#include <numeric>

namespace foxtailwheel::bench {

namespace {

    constexpr std::array<std::string_view, 8> troubleNames { "calm", "burst", "straggler", "deaths", "lossy-zone",
        "shared-prefixes", "lag-1s", "lag-5s" };
    constexpr std::array<std::string_view, 7> policyNames { "full", "round-robin", "least-reported", "power-of-two",
        "no-hedging", "no-admission", "no-affinity" };

    template <class T, std::size_t N> std::vector<T> everyOne()
    {
        std::vector<T> values;
        for (std::size_t i = 0; i < N; ++i)
            values.push_back(static_cast<T>(i));
        return values;
    }

} // namespace

std::string_view toString(Trouble trouble)
{
    return troubleNames.at(static_cast<std::size_t>(trouble));
}

std::string_view toString(Policy policy)
{
    return policyNames.at(static_cast<std::size_t>(policy));
}

const std::vector<Trouble>& allTroubles()
{
    static const auto values = everyOne<Trouble, troubleNames.size()>();
    return values;
}

const std::vector<Policy>& allPolicies()
{
    static const auto values = everyOne<Policy, policyNames.size()>();
    return values;
}

Deployment deploymentOf(std::string name, const std::string& text)
{
    Deployment deployment;
    deployment.name = std::move(name);
    auto declared = std::make_shared<config::Declarations>(config::parseDeclarations(text).declarations);
    // A few accounts are large: each asks for half as much as the one before. Limits by rate are measured elsewhere.
    double part = 1;
    for (auto& it : declared->accounts) {
        it.ratePerSecond = 0;
        deployment.accountShares.push_back(part);
        part /= 2;
    }
    const double sum = std::accumulate(deployment.accountShares.begin(), deployment.accountShares.end(), 0.0);
    for (auto& it : deployment.accountShares)
        it /= sum;
    deployment.declared = std::move(declared);
    return deployment;
}

serving::DispatcherOptions dispatcherOptions(Policy policy)
{
    serving::DispatcherOptions options;
    options.shards = 1;
    switch (policy) {
    case Policy::Full:
        break;
    case Policy::RoundRobin:
        options.pools.policy = routing::ChoicePolicyKind::RoundRobin;
        break;
    case Policy::LeastReported:
        options.pools.policy = routing::ChoicePolicyKind::LeastReportedLoad;
        break;
    case Policy::PowerOfTwo:
        options.pools.policy = routing::ChoicePolicyKind::PowerOfTwo;
        break;
    case Policy::NoHedging:
        options.hedging = false;
        break;
    case Policy::NoAdmission:
        options.admission = false;
        break;
    case Policy::NoAffinity:
        options.pools.prefixAffinity = false;
        break;
    }
    return options;
}

} // namespace foxtailwheel::bench
