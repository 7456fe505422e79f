#include "ResultCollector.h"

#include <algorithm>
#include <numeric>

namespace foxtailwheel::bench {

namespace {

    double quantile(std::vector<double>& values, double q)
    {
        if (values.empty())
            return 0;
        const auto at = values.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), at, values.end());
        return *at;
    }

    double ratio(double a, double b)
    {
        return b > 0 ? a / b : 0;
    }

} // namespace

std::vector<double> maxMinFairShares(
    const std::vector<double>& demands, const std::vector<double>& weights, double capacity)
{
    std::vector<double> shares(demands.size());
    std::vector<bool> satisfied(demands.size());
    double remaining = capacity;
    for (bool changed = true; changed;) {
        changed = false;
        double weight = 0;
        for (std::size_t i = 0; i < demands.size(); ++i)
            weight += satisfied[i] ? 0 : weights[i];
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (satisfied[i])
                continue;
            shares[i] = remaining * weights[i] / weight;
            if (demands[i] > shares[i])
                continue;
            shares[i] = demands[i];
            satisfied[i] = true;
            changed = true;
        }
        remaining = capacity;
        for (std::size_t i = 0; i < demands.size(); ++i)
            remaining -= satisfied[i] ? shares[i] : 0;
        if (std::all_of(satisfied.begin(), satisfied.end(), [](bool it) { return it; }))
            break;
    }
    return shares;
}

ResultCollector::ResultCollector(const config::Declarations& declarations)
    : m_declarations(declarations)
    , m_bottleneckDemand(declarations.accounts.size())
    , m_bottleneckAnswers(declarations.accounts.size())
{
}

void ResultCollector::onRequest(std::size_t account, bool usesBottleneck)
{
    ++m_result.requests;
    m_bottleneckDemand[account] += usesBottleneck ? 1 : 0;
}

void ResultCollector::onBottleneckAnswer(std::size_t account, bool inBurst)
{
    ++m_bottleneckAnswers[account];
    m_burstAnswers += inBurst ? 1 : 0;
}

void ResultCollector::onCallSent(const config::Service& service, bool isRetryOrHedge)
{
    (isRetryOrHedge ? m_retryCost : m_firstAttemptCost) += static_cast<double>(service.price.microCredits);
}

void ResultCollector::onFirstToken(Duration latency)
{
    m_firstTokenLatenciesMs.push_back(toMilliseconds(latency));
}

void ResultCollector::onReply(Duration latency, const serving::Reply& reply)
{
    for (const auto& it : reply.costs) {
        const auto cost = static_cast<double>((it.calls + it.links).microCredits);
        m_callCount += it.attempts;
        m_crossZoneCalls += it.crossZone;
        m_totalCost += cost;
        m_wastedCost += static_cast<double>(it.wasted.microCredits);
        m_result.costByStage[it.service.value()] += cost;
    }
    if (reply.outcome.kind != pipeline::OutcomeKind::Answered) {
        m_result.refused += reply.costs.empty() ? 1 : 0;
        return;
    }
    ++m_result.answered;
    m_latenciesMs.push_back(toMilliseconds(latency));
}

double ResultCollector::worstFairShare(double capacity) const
{
    std::vector<double> weights;
    for (const auto& it : m_declarations.accounts)
        weights.push_back(it.weight);
    const auto fair = maxMinFairShares(m_bottleneckDemand, weights, capacity);
    double worst = 1e9;
    for (std::size_t i = 0; i < fair.size(); ++i) {
        if (fair[i] > 0)
            worst = std::min(worst, m_bottleneckAnswers[i] / fair[i]);
    }
    return worst;
}

SimulationResult ResultCollector::result(double capacity, double burstCapacity)
{
    auto out = m_result;
    const auto answered = static_cast<double>(out.answered);
    const double answers = std::accumulate(m_bottleneckAnswers.begin(), m_bottleneckAnswers.end(), 0.0);
    out.attainment = ratio(answered, static_cast<double>(out.requests));
    out.goodput = ratio(answers, capacity);
    out.burstGoodput = ratio(m_burstAnswers, burstCapacity);
    out.medianMs = quantile(m_latenciesMs, 0.5);
    out.p99Ms = quantile(m_latenciesMs, 0.99);
    out.firstTokenP95Ms = quantile(m_firstTokenLatenciesMs, 0.95);
    out.crossZoneShare = ratio(m_crossZoneCalls, m_callCount);
    out.retryCostRatio = ratio(m_retryCost, m_firstAttemptCost);
    out.wastedCostShare = ratio(m_wastedCost, m_totalCost);
    out.costPerAnswer = ratio(m_totalCost, answered);
    out.worstFairShare = worstFairShare(capacity);
    for (auto& it : out.costByStage)
        it.second = ratio(it.second, answered);
    return out;
}

} // namespace foxtailwheel::bench
