#pragma once

#include <initializer_list>
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

/// @brief Sends log lines of `level` (`error`, `warn`, `info`, `debug`) and above to standard error.
///
/// A line is `time level event name=value ...`; values with spaces or quotes are quoted.
void configureLog(const std::string& level);

void logError(std::string_view event, Fields fields = {});
void logWarning(std::string_view event, Fields fields = {});
void logInfo(std::string_view event, Fields fields = {});
void logDebug(std::string_view event, Fields fields = {});

/// @brief The text of a log line without its time and level.
std::string formatLine(std::string_view event, Fields fields);

} // namespace foxtailwheel::telemetry
