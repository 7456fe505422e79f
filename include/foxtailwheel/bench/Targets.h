#pragma once

#include "foxtailwheel/bench/Simulation.h"

#include <ostream>
#include <string>
#include <vector>

namespace foxtailwheel::bench {

/// @brief One scenario with its result.
struct Row {
    Scenario scenario;
    SimulationResult result;
};

/// @brief Returns the name of a row, for example `irish-agency/deaths/80/full`.
std::string rowName(const Scenario& scenario);

/// @brief Returns all scenarios of the deployments whose row names contain `nameFilter`.
std::vector<Row> makeRows(const std::vector<Deployment>& deployments, const std::string& nameFilter);

/// @brief Prints the rows as a text table.
void printRows(std::ostream& out, const std::vector<Row>& rows);

/// @brief Result of checking the rows against their bounds.
struct CheckResult {
    std::size_t checkedBounds = 0; ///< Number of bounds checked.
    std::vector<std::string> violations; ///< Violated bounds that are not listed in KNOWN-RED.txt.
    std::vector<std::string> knownViolations; ///< Violated bounds that are listed in KNOWN-RED.txt.
};

/// @brief Checks the rows against the service-level targets.
///
/// If the full system is worse than another policy for the row's seed, the comparison is repeated with more seeds. The
/// bound is violated only if the system is worse by a statistically significant amount.
/// @param knownRed Text of KNOWN-RED.txt; a violated bound whose name is a line of this text does not fail the check.
CheckResult checkTargets(const std::vector<Row>& rows, const std::string& knownRed);

} // namespace foxtailwheel::bench
