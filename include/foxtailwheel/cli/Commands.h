#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace foxtailwheel::cli {

/// @brief Exit codes that scripts can rely on.
enum class ExitCode {
    Ok = 0,
    Failed = 1,
    Usage = 2,
    Invalid = 3, ///< The configuration has faults.
    Conflict = 4, ///< Another change came first.
    Unavailable = 5, ///< The instance or the table could not be asked; nothing was changed.
    NotRun = 6, ///< The call was not run; safe to repeat.
    Unknown = 7, ///< The call or the change may have run.
};

/// @brief Runs one command line.
/// @param args The words after the program's name.
ExitCode runCommand(const std::vector<std::string>& args, std::ostream& out, std::ostream& err);

} // namespace foxtailwheel::cli
