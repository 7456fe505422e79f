#pragma once

#include <istream>
#include <string>
#include <vector>

namespace foxtailwheel::cli {

/// @brief The log of one process, read line by line.
struct LogSource {
    std::string name; ///< Process name for lines that have no process name before their time.
    std::istream* stream = nullptr;
};

/// @brief One log line of a request.
struct LogEntry {
    std::string time;
    std::string process;
    std::string event;
    std::string fields; ///< The `name=value` pairs after the event.

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// @brief The log entries of one request from all processes, ordered by time.
struct RequestTimeline {
    std::vector<LogEntry> entries;
    std::size_t missingLines = 0; ///< Number of log lines dropped or suppressed while the request was in progress.
};

/// @brief Collects the log entries of a request, and those about servers that got none of its calls or no further ones
/// because they leave or asked for a pause; empty if no line contains its ID.
RequestTimeline collectTimeline(const std::string& requestId, const std::vector<LogSource>& sources);

} // namespace foxtailwheel::cli
