#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace foxtailwheel::cli {

/// @brief One column of a table: its heading and the key of its values.
struct Column {
    std::string heading;
    std::string key;
};

/// @brief Prints the objects of `rows` as a table with aligned columns.
void printTable(std::ostream& out, const std::vector<Column>& columns, const nlohmann::json& rows);

} // namespace foxtailwheel::cli
