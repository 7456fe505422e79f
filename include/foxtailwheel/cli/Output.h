#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace foxtailwheel::cli {

/// @brief One column of a table: its heading and the JSON key of its values.
struct Column {
    std::string heading;
    std::string key;
};

/// @brief Prints the objects of the JSON array `rows` as a table with aligned columns; a missing value is shown as `-`.
void printTable(std::ostream& out, const std::vector<Column>& columns, const nlohmann::json& rows);

} // namespace foxtailwheel::cli
