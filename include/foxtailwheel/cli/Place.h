#pragma once

#include "foxtailwheel/base/Json.h"

#include <ostream>
#include <string>

namespace foxtailwheel::cli {

/// @brief A request whose placement is to be explained.
struct PlaceQuery {
    std::string host;
    std::string path;
    std::string prompt; ///< Parts as `ID:TOKENS`, separated by commas; may be empty.
    std::string pieces; ///< Number of pieces of each stage, separated by commas; may be empty.
};

/// @brief Returns the path and percent-encoded query that asks an instance for the explanation.
std::string placeTarget(const PlaceQuery& query);

/// @brief Prints the explanation of an instance: the decision, then a table of the servers.
void printPlacement(std::ostream& out, const nlohmann::json& placement);

} // namespace foxtailwheel::cli
