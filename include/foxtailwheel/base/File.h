#pragma once

#include "foxtailwheel/base/Error.h"

#include <string>

namespace foxtailwheel {

/// @brief Reads a whole file; returns `Errc::NotFound` with the path if it cannot be read.
Result<std::string> readFile(const std::string& path);

} // namespace foxtailwheel
