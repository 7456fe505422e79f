#include "PoolRunPolicy.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    constexpr double hedgeQuantile = 0.95;
    constexpr double hedgeFallbackFactor = 3;
    constexpr Duration minHedgeDelay = 2ms;
    constexpr Duration streamProgressTimeout = 1s;
    /// Cost of retrying a call that never started, which used no server time; 1 is a full attempt.
    constexpr double unstartedRetryCost = 0.05;
    /// Maximum attempts accumulated in the budget. Covers the simultaneous failure of a fifth of the servers that an
    /// instance uses, which breaks all calls in progress there.
    constexpr double retryBudgetCapacity = 32;

    const routing::ServerPool* poolOf(const ConfigSnapshot& snapshot, const ServiceId& service)
    {
        const auto it = snapshot.pools.find(service);
        return it == snapshot.pools.end() ? nullptr : it->second.get();
    }

} // namespace

PoolRunPolicy::PoolRunPolicy(
    std::function<std::shared_ptr<const ConfigSnapshot>()> currentSnapshot, bool hedging, double retryBudgetFraction)
    : m_currentSnapshot(std::move(currentSnapshot))
    , m_hedging(hedging)
    , m_retryBudget(retryBudgetFraction, retryBudgetFraction > 0 ? retryBudgetCapacity : 0)
{
}

Duration PoolRunPolicy::expectedTime(const pipeline::Stage& stage) const
{
    const auto snapshot = m_currentSnapshot();
    const auto* pool = poolOf(*snapshot, stage.service);
    return pool == nullptr ? stage.typicalTime : pool->expectedCallTime();
}

std::optional<Duration> PoolRunPolicy::hedgeDelay(const pipeline::Stage& stage) const
{
    if (!m_hedging)
        return std::nullopt;
    const auto fallback = fromSeconds(toSeconds(stage.typicalTime) * hedgeFallbackFactor);
    const auto snapshot = m_currentSnapshot();
    const auto* pool = poolOf(*snapshot, stage.service);
    const auto delay = pool == nullptr ? fallback : pool->callTimeQuantile(hedgeQuantile, fallback);
    return std::max(delay, minHedgeDelay);
}

Duration PoolRunPolicy::progressTimeout(const pipeline::Stage& /*stage*/) const
{
    return streamProgressTimeout;
}

bool PoolRunPolicy::tryAcquireRetry(const pipeline::Stage& /*stage*/, bool costly)
{
    const std::lock_guard lock(m_mutex);
    return m_retryBudget.tryAcquire(costly ? 1 : unstartedRetryCost);
}

void PoolRunPolicy::recordFirstAttempt(double utilization)
{
    const std::lock_guard lock(m_mutex);
    m_retryBudget.onFirstAttempt(utilization);
}

} // namespace foxtailwheel::serving
