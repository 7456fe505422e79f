#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace foxtailwheel::telemetry {

/// @brief One `name=value` pair of a log line.
struct Field {
    std::string_view name;
    std::string value;
};

/// @brief Fields of a log line in their order.
using Fields = std::initializer_list<Field>;

/// @brief Sends log lines of `level` (`error`, `warn`, `info`, `debug`) and above to standard output.
///
/// A line is `time level event name=value ...`; values with spaces or quotes are quoted. Writing never waits for the
/// reader: lines that it does not take are dropped, and lines of one event beyond its rate are withheld; both are
/// counted in lines of their own.
void configureLog(const std::string& level);

/// @brief Writes the lines that have gathered; called now and then, and before the process ends.
void flushLog();

void logError(std::string_view event, Fields fields = {});
void logWarning(std::string_view event, Fields fields = {});
void logInfo(std::string_view event, Fields fields = {});
void logDebug(std::string_view event, Fields fields = {});
/// @brief Like `logInfo`, for fields that are known only at run time.
void logInfoFields(std::string_view event, std::span<const Field> fields);

/// @brief The text of a log line without its time and level.
std::string formatLine(std::string_view event, std::span<const Field> fields);

} // namespace foxtailwheel::telemetry
