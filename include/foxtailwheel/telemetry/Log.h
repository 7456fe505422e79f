#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace foxtailwheel::telemetry {

/// @brief A `name=value` pair of a log line.
struct Field {
    std::string_view name;
    std::string value;
};

/// @brief Fields of a log line, in output order.
using Fields = std::initializer_list<Field>;

/// @brief Writes log lines of `level` (`error`, `warn`, `info`, `debug`) and above to standard output.
///
/// Any other value of `level` selects `info`.
///
/// A line has the form `time=... level=... event=... name=value ...`; empty values and values with spaces, quotes or
/// `=` are quoted. Writing never blocks on the reader: lines are dropped while it stalls, and lines of one event beyond
/// its rate limit are suppressed. The number of dropped and suppressed lines is logged.
void configureLog(const std::string& level);

/// @brief Writes the buffered lines; to be called periodically and before the process exits.
void flushLog();

void logError(std::string_view event, Fields fields = {});
void logWarning(std::string_view event, Fields fields = {});
void logInfo(std::string_view event, Fields fields = {});
void logDebug(std::string_view event, Fields fields = {});
/// @brief Like `logInfo`, for a set of fields that is only known at run time.
void logInfoFields(std::string_view event, std::span<const Field> fields);

/// @brief Formats a log line without its time and level.
std::string formatLine(std::string_view event, std::span<const Field> fields);

} // namespace foxtailwheel::telemetry
