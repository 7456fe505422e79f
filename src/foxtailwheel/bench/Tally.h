#pragma once

#include "foxtailwheel/bench/Simulation.h"

#include <vector>

namespace foxtailwheel::bench {

/// @brief Adds up what happened in a run.
class Tally {
public:
    explicit Tally(const config::Declarations& declared);

    /// @brief A request came.
    void asked(std::size_t account, bool usesScarcest);
    /// @brief A call was sent.
    void sent(const config::Service& service, bool isExtra);
    /// @brief The first token of a stream came.
    void firstToken(Duration after);
    /// @brief A request ended.
    void replied(Duration after, const serving::Reply& reply);
    /// @brief The scarcest service gave a whole answer within the measured time, whenever it was asked for.
    /// @param inBurst While a burst lasts.
    void served(std::size_t account, bool inBurst);
    /// @brief The figures.
    /// @param capacity Calls of the scarcest service that the run had room for.
    /// @param burstCapacity The same while the burst lasted.
    Figures figures(double capacity, double burstCapacity);

private:
    double worstFairShare(double capacity) const;

    const config::Declarations& m_declared;
    Figures m_figures;
    std::vector<double> m_times;
    std::vector<double> m_firstTokens;
    std::vector<double> m_askedOfScarcest;
    std::vector<double> m_servedByScarcest;
    double m_servedInBurst = 0;
    double m_firstCost = 0;
    double m_extraCost = 0;
    double m_totalCost = 0;
    double m_wastedCost = 0;
    double m_calls = 0;
    double m_crossZone = 0;
};

/// @brief Max-min fair division of `capacity` by weights among demands.
std::vector<double> fairDivision(
    const std::vector<double>& demands, const std::vector<double>& weights, double capacity);

} // namespace foxtailwheel::bench
