#include "foxtailwheel/base/File.h"
#include "foxtailwheel/bench/Simulation.h"
#include "foxtailwheel/bench/Targets.h"

#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace foxtailwheel;
using bench::Row;

void simulateAll(std::vector<Row>& rows)
{
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (auto n = next++; n < rows.size(); n = next++)
                rows[n].result = bench::simulate(rows[n].scenario);
        });
    }
    for (auto& it : threads)
        it.join();
}

nlohmann::json toJson(const Row& row)
{
    const auto& figures = row.result;
    return { { "deployment", row.scenario.deployment->name }, { "trouble", toString(row.scenario.fault) },
        { "load", row.scenario.load }, { "policy", toString(row.scenario.policy) }, { "requests", figures.requests },
        { "attainment", figures.attainment }, { "goodput", figures.goodput }, { "median_ms", figures.medianMs },
        { "p99_ms", figures.p99Ms }, { "first_token_p95_ms", figures.firstTokenP95Ms },
        { "cross_zone", figures.crossZoneShare }, { "extra_cost", figures.retryCostRatio },
        { "wasted", figures.wastedCostShare }, { "cost_per_answer_uc", figures.costPerAnswer },
        { "worst_fair_share", figures.worstFairShare }, { "cost_by_stage_uc", figures.costByStage } };
}

int reportError(const Error& error)
{
    std::cerr << "foxtailwheel-bench: " << error.message() << "\n";
    return 1;
}

int run(const cxxopts::ParseResult& args)
{
    std::vector<bench::Deployment> deployments;
    for (const std::string name : { "irish-agency", "stringfold" }) {
        const auto text = readFile("examples/" + name + ".yaml");
        if (!text)
            return reportError(text.error());
        deployments.push_back(bench::parseDeployment(name, text.value()));
    }
    auto rows = bench::makeRows(deployments, args["only"].as<std::string>());
    simulateAll(rows);
    if (args.count("json") > 0) {
        nlohmann::json out = nlohmann::json::array();
        for (const auto& it : rows)
            out.push_back(toJson(it));
        std::cout << out.dump(1) << "\n";
        return 0;
    }
    if (args.count("check") == 0) {
        bench::printRows(std::cout, rows);
        return 0;
    }
    const auto knownRedList = readFile("KNOWN-RED.txt");
    if (!knownRedList)
        return reportError(knownRedList.error());
    const auto checkResult = bench::checkTargets(rows, knownRedList.value());
    for (const auto& it : checkResult.knownViolations)
        std::cout << "known red: " << it << "\n";
    for (const auto& it : checkResult.violations)
        std::cout << "broken: " << it << "\n";
    std::cout << checkResult.checkedBounds << " bounds checked, " << checkResult.knownViolations.size()
              << " known red, " << checkResult.violations.size() << " broken\n";
    return checkResult.violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("foxtailwheel-bench", "Measures the serving policies in simulated time.\n");
    options.add_options()("only", "run only the rows whose name contains this text, such as irish-agency/deaths",
        cxxopts::value<std::string>()->default_value(""))("json", "print the rows as JSON")("check",
        "exit with 1 if a row is out of its bounds and not listed in KNOWN-RED.txt")("h,help", "print this help");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run(args);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "foxtailwheel-bench: " << ex.what() << "\n";
        return 2;
    }
}
