#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace foxtailwheel::cli {

/// @brief Stable exit codes for scripts.
enum class ExitCode {
    Ok = 0,
    Failed = 1,
    Usage = 2,
    Invalid = 3, ///< The configuration is invalid.
    Conflict = 4, ///< A concurrent change was accepted first.
    Unavailable = 5, ///< The instance or the table is unreachable; nothing was changed.
    NotRun = 6, ///< The call was not executed; it is safe to retry.
    Unknown = 7, ///< The call or the change may have been executed.
};

/// @brief Parses and runs one command line.
/// @param args The command line without the program name.
/// @param out Receives the result of the command.
/// @param err Receives error messages.
ExitCode runCommand(const std::vector<std::string>& args, std::ostream& out, std::ostream& err);

} // namespace foxtailwheel::cli
