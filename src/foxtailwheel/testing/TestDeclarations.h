#pragma once

#include "foxtailwheel/config/Declarations.h"

#include <memory>

namespace foxtailwheel::testing {

/// @brief Returns declarations of a small deployment. Pipeline `answer` has the stages encode, retrieve and generate;
/// pipeline `book` calls the non-idempotent service `booking`.
/// @param servers Number of backend servers of each service.
std::shared_ptr<const config::Declarations> smallDeployment(std::size_t servers);

/// @brief Returns a service with `servers` backend servers, alternating between the zones `a` and `b`.
config::Service makeService(const std::string& name, config::ServiceKind kind, std::size_t servers);

} // namespace foxtailwheel::testing
