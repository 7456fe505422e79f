#pragma once

#include <istream>
#include <string>
#include <vector>

namespace foxtailwheel::cli {

/// @brief The log of one process.
struct LogSource {
    std::string name; ///< Shown where a line does not begin with a name of its own.
    std::istream* text = nullptr;
};

/// @brief One log line that touches a request, or tells that lines are missing.
struct ExplainedLine {
    std::string time;
    std::string process;
    std::string event;
    std::string fields; ///< The other `name=value` pairs.

    friend bool operator==(const ExplainedLine&, const ExplainedLine&) = default;
};

/// @brief The story of one request, in the order of time over all processes.
struct Explanation {
    std::vector<ExplainedLine> lines;
    std::size_t missing = 0; ///< Lines that were dropped or withheld while the request was in progress.
};

/// @brief Gathers what the logs say of a request.
Explanation explain(const std::string& request, const std::vector<LogSource>& sources);

} // namespace foxtailwheel::cli
