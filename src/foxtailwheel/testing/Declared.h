#pragma once

#include "foxtailwheel/config/Declarations.h"

#include <memory>

namespace foxtailwheel::testing {

/// @brief Declarations of a small deployment: encode, retrieve and generate as pipeline `answer`, a booking as `book`.
/// @param servers Backend servers of each service.
std::shared_ptr<const config::Declarations> smallDeployment(std::size_t servers);

/// @brief A service with `servers` servers spread over the zones `a` and `b`.
config::Service serviceOf(const std::string& name, config::ServiceKind kind, std::size_t servers);

} // namespace foxtailwheel::testing
