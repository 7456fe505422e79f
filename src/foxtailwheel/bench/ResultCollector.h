#pragma once

#include "foxtailwheel/bench/Simulation.h"

#include <vector>

namespace foxtailwheel::bench {

/// @brief Collects the metrics of a simulation run.
class ResultCollector {
public:
    explicit ResultCollector(const config::Declarations& declarations);

    /// @brief Records a submitted request.
    void onRequest(std::size_t account, bool usesBottleneck);
    /// @brief Records a call that was sent to a backend server.
    void onCallSent(const config::Service& service, bool isRetryOrHedge);
    /// @brief Records the time to the first token of a stream.
    void onFirstToken(Duration latency);
    /// @brief Records the reply to a request, with its costs.
    void onReply(Duration latency, const serving::Reply& reply);
    /// @brief Records a complete answer of the bottleneck service within the measured time, even if the request was
    /// submitted before.
    /// @param inBurst Whether the answer counts towards the goodput of the burst.
    void onBottleneckAnswer(std::size_t account, bool inBurst);
    /// @brief Computes the metrics of the run.
    /// @param capacity Number of calls that the bottleneck service could execute in the measured time.
    /// @param burstCapacity Number of calls that it could execute during the burst; 0 without a burst.
    SimulationResult result(double capacity, double burstCapacity);

private:
    double worstFairShare(double capacity) const;

    const config::Declarations& m_declarations;
    SimulationResult m_result;
    std::vector<double> m_latenciesMs;
    std::vector<double> m_firstTokenLatenciesMs;
    std::vector<double> m_bottleneckDemand;
    std::vector<double> m_bottleneckAnswers;
    double m_burstAnswers = 0;
    double m_firstAttemptCost = 0;
    double m_retryCost = 0;
    double m_totalCost = 0;
    double m_wastedCost = 0;
    double m_callCount = 0;
    double m_crossZoneCalls = 0;
};

/// @brief Returns the weighted max-min fair shares of `capacity` for the demands.
std::vector<double> maxMinFairShares(
    const std::vector<double>& demands, const std::vector<double>& weights, double capacity);

} // namespace foxtailwheel::bench
