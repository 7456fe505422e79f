#include "foxtailwheel/bench/Scenario.h"

#include <array>
#include <numeric>

namespace foxtailwheel::bench {

namespace {

    constexpr std::array<std::string_view, 8> faultNames { "calm", "burst", "straggler", "deaths", "lossy-zone",
        "shared-prefixes", "lag-1s", "lag-5s" };
    constexpr std::array<std::string_view, 7> policyNames { "full", "round-robin", "least-reported", "power-of-two",
        "no-hedging", "no-admission", "no-affinity" };

    template <class T, std::size_t N> std::vector<T> allValues()
    {
        std::vector<T> values;
        for (std::size_t i = 0; i < N; ++i)
            values.push_back(static_cast<T>(i));
        return values;
    }

} // namespace

std::string_view toString(InjectedFault fault)
{
    return faultNames.at(static_cast<std::size_t>(fault));
}

std::string_view toString(Policy policy)
{
    return policyNames.at(static_cast<std::size_t>(policy));
}

const std::vector<InjectedFault>& allFaults()
{
    static const auto values = allValues<InjectedFault, faultNames.size()>();
    return values;
}

const std::vector<Policy>& allPolicies()
{
    static const auto values = allValues<Policy, policyNames.size()>();
    return values;
}

Deployment parseDeployment(std::string name, const std::string& text)
{
    Deployment deployment;
    deployment.name = std::move(name);
    auto declarations = std::make_shared<config::Declarations>(config::parseDeclarations(text).declarations);
    // Account sizes are skewed: each account sends half as many requests as the one before. Account rate limits are
    // disabled here and measured separately.
    double share = 1;
    for (auto& it : declarations->accounts) {
        it.ratePerSecond = 0;
        deployment.accountShares.push_back(share);
        share /= 2;
    }
    const double sum = std::accumulate(deployment.accountShares.begin(), deployment.accountShares.end(), 0.0);
    for (auto& it : deployment.accountShares)
        it /= sum;
    deployment.declarations = std::move(declarations);
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
        options.pools.policy = routing::LoadBalancingPolicyKind::RoundRobin;
        break;
    case Policy::LeastReported:
        options.pools.policy = routing::LoadBalancingPolicyKind::LeastReportedLoad;
        break;
    case Policy::PowerOfTwo:
        options.pools.policy = routing::LoadBalancingPolicyKind::PowerOfTwoChoices;
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
