#pragma once

#include "foxtailwheel/base/Error.h"

#include <string>

namespace foxtailwheel {

/// @brief The whole content of a file, or `NotFound` with the path where it cannot be read.
Result<std::string> readFile(const std::string& path);

} // namespace foxtailwheel
