#include "foxtailwheel/bench/Targets.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <future>
#include <map>
#include <set>
#include <sstream>

namespace foxtailwheel::bench {

namespace {

    constexpr std::array loads { 0.5, 0.8, 0.95, 1.2 };
    constexpr double calmAttainment = 0.999;
    constexpr double faultAttainment = 0.99;
    constexpr double overloadGoodput = 0.95;
    constexpr double fairShareTolerance = 0.10;
    constexpr double maxRetryCostRatio = 0.05;
    constexpr double maxCrossZoneShare = 0.10;
    /// Number of seeds for a repeated comparison.
    constexpr std::uint64_t comparisonSeeds = 8;
    /// One-sided critical value of Student's t distribution at 95% for `comparisonSeeds - 1` degrees of freedom.
    constexpr double studentTCriticalValue = 1.895;

    bool approximatelyEqual(double a, double b)
    {
        return std::abs(a - b) < 1e-9;
    }

    bool allZonesHealthy(InjectedFault fault)
    {
        return fault != InjectedFault::LossyZone && fault != InjectedFault::Deaths;
    }

    /// Records bound checks and separates known violations from new ones.
    class Checker {
    public:
        Checker(const std::string& knownRed, CheckResult& result)
            : m_result(result)
        {
            std::istringstream lines(knownRed);
            for (std::string line; std::getline(lines, line);)
                m_knownRed.insert(line);
        }

        void atLeast(const std::string& name, double value, double bound)
        {
            checkBound(name, value >= bound, value, bound);
        }
        void atMost(const std::string& name, double value, double bound)
        {
            checkBound(name, value <= bound, value, bound);
        }

    private:
        void checkBound(const std::string& name, bool satisfied, double value, double bound)
        {
            ++m_result.checkedBounds;
            if (satisfied)
                return;
            std::array<char, 96> buf {};
            std::snprintf(buf.data(), buf.size(), " is %.5f, the bound %.5f", value, bound);
            auto& violations = m_knownRed.contains(name) ? m_result.knownViolations : m_result.violations;
            violations.push_back(name + buf.data());
        }

        CheckResult& m_result;
        std::set<std::string> m_knownRed;
    };

    void checkFullPolicy(const Row& row, Checker& checker)
    {
        const auto& f = row.result;
        const auto name = rowName(row.scenario);
        const bool calm = row.scenario.fault == InjectedFault::Calm;
        if (row.scenario.fault == InjectedFault::Burst && row.scenario.load >= 0.8)
            // The burst offers more than twice the capacity, so that no policy can answer all requests; the target
            // is to use the capacity fully.
            checker.atLeast(name + " goodput in the burst", f.burstGoodput, overloadGoodput);
        else if (approximatelyEqual(row.scenario.load, 0.8))
            checker.atLeast(name + " attainment", f.attainment, calm ? calmAttainment : faultAttainment);
        if (approximatelyEqual(row.scenario.load, 1.2)) {
            checker.atLeast(name + " goodput", f.goodput, overloadGoodput);
            checker.atLeast(name + " worst fair share", f.worstFairShare, 1 - fairShareTolerance);
        }
        if (approximatelyEqual(row.scenario.load, 0.5) && allZonesHealthy(row.scenario.fault))
            checker.atMost(name + " cross-zone", f.crossZoneShare, maxCrossZoneShare);
        checker.atMost(name + " extra cost", f.retryCostRatio, maxRetryCostRatio);
    }

    /// Mean and standard error of the paired differences of one metric between two policies with the same seeds.
    struct PairedDifference {
        double mean = 0;
        double standardError = 0;
    };

    PairedDifference compare(const Scenario& system, const Scenario& baseline, double SimulationResult::*metric)
    {
        std::vector<std::future<double>> runs;
        for (std::uint64_t i = 1; i <= comparisonSeeds; ++i) {
            runs.push_back(std::async(
                std::launch::async, [system = Scenario(system), baseline = Scenario(baseline), metric, i]() mutable {
                    system.seed += i;
                    baseline.seed += i;
                    return simulate(system).*metric - simulate(baseline).*metric;
                }));
        }
        double sum = 0;
        double squares = 0;
        for (auto& it : runs) {
            const double difference = it.get();
            sum += difference;
            squares += difference * difference;
        }
        const auto n = static_cast<double>(comparisonSeeds);
        const double mean = sum / n;
        return { mean, std::sqrt(std::max(0.0, squares / n - mean * mean) / (n - 1)) };
    }

    /// Checks that the full system is not worse than a baseline policy in one metric.
    /// @param sign 1 if higher is better, -1 if lower is better.
    void checkNotWorse(const Row& system, const Row& baseline, double SimulationResult::*metric, double sign,
        const std::string& name, Checker& checker)
    {
        const double difference = sign * (system.result.*metric - baseline.result.*metric);
        if (difference >= 0) {
            checker.atLeast(name, difference, 0);
            return;
        }
        const auto repeated = compare(system.scenario, baseline.scenario, metric);
        checker.atLeast(name, sign * repeated.mean, -studentTCriticalValue * repeated.standardError);
    }

    void checkAgainstBaselines(const std::vector<const Row*>& group, Checker& checker)
    {
        const Row* full = nullptr;
        const Row* bestBaseline = nullptr;
        for (const auto* it : group) {
            if (it->scenario.policy == Policy::Full)
                full = it;
            else if (bestBaseline == nullptr || it->result.attainment > bestBaseline->result.attainment)
                bestBaseline = it;
        }
        if (full == nullptr || bestBaseline == nullptr)
            return;
        const auto name = rowName(full->scenario);
        checkNotWorse(*full, *bestBaseline, &SimulationResult::attainment, 1,
            name + " attainment against " + std::string(toString(bestBaseline->scenario.policy)), checker);
        for (const auto* it : group) {
            if (it != full && approximatelyEqual(it->result.attainment, full->result.attainment))
                checkNotWorse(*full, *it, &SimulationResult::costPerAnswer, -1,
                    name + " cost against " + std::string(toString(it->scenario.policy)), checker);
        }
    }

} // namespace

std::string rowName(const Scenario& scenario)
{
    return scenario.deployment->name + "/" + std::string(toString(scenario.fault)) + "/"
        + std::to_string(std::lround(scenario.load * 100)) + "/" + std::string(toString(scenario.policy));
}

std::vector<Row> makeRows(const std::vector<Deployment>& deployments, const std::string& nameFilter)
{
    std::vector<Row> rows;
    for (const auto& deployment : deployments) {
        for (const auto fault : allFaults()) {
            for (const double load : loads) {
                for (const auto policy : allPolicies()) {
                    Row row;
                    row.scenario.deployment = &deployment;
                    row.scenario.fault = fault;
                    row.scenario.load = load;
                    row.scenario.policy = policy;
                    if (rowName(row.scenario).find(nameFilter) != std::string::npos)
                        rows.push_back(std::move(row));
                }
            }
        }
    }
    return rows;
}

void printRows(std::ostream& out, const std::vector<Row>& rows)
{
    out << "row                                         attain%  good%  p50ms  p99ms  ttft95  xzone%  extra%  waste%  "
           "uc/ans  fair\n";
    for (const auto& it : rows) {
        const auto& f = it.result;
        std::array<char, 200> buf {};
        std::snprintf(buf.data(), buf.size(), "%-43s %7.3f %6.1f %6.0f %6.0f %7.0f %7.1f %7.2f %7.2f %7.1f %5.2f\n",
            rowName(it.scenario).c_str(), f.attainment * 100, f.goodput * 100, f.medianMs, f.p99Ms, f.firstTokenP95Ms,
            f.crossZoneShare * 100, f.retryCostRatio * 100, f.wastedCostShare * 100, f.costPerAnswer, f.worstFairShare);
        out << buf.data();
    }
}

CheckResult checkTargets(const std::vector<Row>& rows, const std::string& knownRed)
{
    CheckResult result;
    Checker checker(knownRed, result);
    std::map<std::string, std::vector<const Row*>> groups;
    for (const auto& it : rows) {
        if (it.scenario.policy == Policy::Full)
            checkFullPolicy(it, checker);
        const auto name = rowName(it.scenario);
        groups[name.substr(0, name.rfind('/'))].push_back(&it);
    }
    for (const auto& it : groups)
        checkAgainstBaselines(it.second, checker);
    return result;
}

} // namespace foxtailwheel::bench
